/*
 * Model of tasks that crash their workers: two stored tasks whose workers are lost. The first task
 * crashes each worker that starts it; the worker of the second is lost once, for an unrelated reason.
 * A holder detects the loss of a worker in two ways: its lease expires, or its next incarnation answers.
 * The shard gets new holders, and the submissions are stored under another shard. README.md maps each
 * step to the Go code.
 *
 * The first task is given up after LIMIT losses; the second must not be. A holder that dies between a
 * loss and the write of its count loses one count. The model leaves that out; BOUND allows for it.
 *
 * -DNO_<GUARD> removes one guard. check.sh expects a violation for each.
 */
#define LIMIT 2                 /* losses after which a task is given up */
#define BOUND 3                 /* workers that one task may take down */
#define CHANGES 3               /* of the holder, and moves to another shard */

#define GUILTY 0
#define INNOCENT 1

byte stored[2];                 /* losses in the record */
byte count[2];                  /* losses that the holder knows of */
byte lapsed[2], reborn[2];      /* run whose loss is still to be detected, by lease expiry and by restart; 0: none */
byte counted[2];                /* highest run whose loss was counted */
byte number[2];                 /* number of the newest run */
byte crashes;                   /* workers that the first task has taken down */
bit up[2];                      /* the task runs */
bit givenUp[2];
bit done;                       /* the second task has completed */
byte changes, moves;            /* changes of the holder, moves to another shard */

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

#ifdef NO_ONCE                  /* each detection of a loss counts */
#define NEW(t, r) true
#else
#define NEW(t, r) (counted[t] < r)
#endif

/* The holder detects that run r of task t lost its worker. */
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

/* The lease of the lost worker has expired. */
inline hearLapsed(t) { d_step { lapsed[t] > 0 -> hear(t, lapsed[t]); lapsed[t] = 0 } }

/* The next incarnation of the lost worker answers. */
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
