/*
 * Two stored tasks whose workers are lost. The first crashes each worker that starts it; the worker of
 * the second is lost once, by a cause of its own. The loss of a worker is learnt in two ways, when its
 * lease is over and when its next incarnation answers. The shard changes hands, and the submissions move
 * to another shard. README.md maps each step to the Go code.
 *
 * The first task is given up after LIMIT losses; the second must not be. A holder that dies between the
 * loss and its write loses the count of one; the bound leaves room for that, and it is left out here.
 *
 * -DNO_<GUARD> removes one guard. check.sh expects a violation for each.
 */
#define LIMIT 2                 /* losses after which a task is given up */
#define BOUND 3                 /* workers that one task may take down */
#define CHANGES 3               /* of the holder, and moves to another shard */

#define GUILTY 0
#define INNOCENT 1

byte stored[2];                 /* losses in the record */
byte count[2];                  /* losses as the holder knows them */
byte lapsed[2], reborn[2];      /* run whose worker was lost, to be heard of in each way; 0: none */
byte counted[2];                /* highest run whose loss was counted */
byte number[2];              /* of the newest run */
byte crashes;
bit up[2];                      /* the task runs */
bit givenUp[2];
bit done;                       /* the second task has completed */
byte changes, moves;

inline lose(t) {
  up[t] = false;
  lapsed[t] = number[t];
  reborn[t] = number[t]
}

proctype Worker() {
  bit spared = true;            /* the second task's worker has not been lost yet */
  do
  :: d_step { up[GUILTY] -> lose(GUILTY); crashes++; assert(crashes <= BOUND) }
  :: d_step { up[INNOCENT] && spared -> lose(INNOCENT); spared = false }
  :: d_step { up[INNOCENT] && !spared -> up[INNOCENT] = false; done = true }
  :: givenUp[GUILTY] && done -> break
  od
}

#ifdef NO_ONCE                  /* each word of a loss counts */
#define NEW(t, r) true
#else
#define NEW(t, r) (counted[t] < r)
#endif

inline hear(t, r) {
  if
  :: NEW(t, r) -> counted[t] = r; count[t]++
  :: else -> skip
  fi;
#ifndef NO_STORE
  stored[t] = count[t];
#endif
  if
  :: count[t] >= LIMIT -> givenUp[t] = true
  :: else -> skip
  fi;
  assert(!givenUp[INNOCENT])
}

inline hearLapsed(t) { d_step { lapsed[t] > 0 -> hear(t, lapsed[t]); lapsed[t] = 0 } }

inline hearReborn(t) { d_step { reborn[t] > 0 -> hear(t, reborn[t]); reborn[t] = 0 } }

inline start(t) {
  d_step { !up[t] && !givenUp[t] && lapsed[t] == 0 && !(t == INNOCENT && done) -> number[t]++; up[t] = true }
}

proctype Holder() {
  do
  :: hearLapsed(GUILTY)
  :: hearReborn(GUILTY)
  :: hearLapsed(INNOCENT)
  :: hearReborn(INNOCENT)
  :: start(GUILTY)
  :: start(INNOCENT)
  :: d_step { changes < CHANGES -> changes++;         /* the next holder reads the records */
     count[GUILTY] = stored[GUILTY]; count[INNOCENT] = stored[INNOCENT] }
  :: d_step { moves < CHANGES && !up[GUILTY] && lapsed[GUILTY] == 0 -> moves++;
#ifdef NO_CARRY                 /* the record for the other shard has no losses */
     count[GUILTY] = 0; stored[GUILTY] = 0
#else
     count[GUILTY] = stored[GUILTY]
#endif
     }
  :: givenUp[GUILTY] && done -> break
  od
}

init {
  atomic { run Worker(); run Holder() }
}
