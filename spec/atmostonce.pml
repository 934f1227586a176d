/*
 * Model of the at-most-once protocol: one submission, its two candidate workers
 * and its drivers, which are its home VM and the entry VMs that recover it.
 * README.md maps each step to the Go code.
 *
 * Network: a sent message may be delivered late, never or several times, in
 * any order. Processes: one that is no longer scheduled is paused, partitioned
 * or dead, so crashes of entry VMs need no steps of their own.
 *
 * guards.pml has the invariants and a switch for each guard; check.sh expects
 * a violation for each guard that is removed.
 */
#ifndef NT
#define NT 1                    /* tasks of the submission */
#endif
#ifndef MAXFAULT
#define MAXFAULT 1              /* bound on worker restarts and early ticket expiries */
#endif
#ifndef RECOVERERS
#define RECOVERERS 2
#endif
#define NW    2                 /* candidate workers */
#define ALL   ((1 << NT) - 1)
#define EVERY ((1 << NW) - 1)

#include "guards.pml"

#define KEY(g, t)     (1 << (((g) - 1) * NT + (t)))
#define BY_HOME(g)    ((g) == G_HOME || (g) == G_RAISED)
#define HAS(set, bit) (((set) & (bit)) != 0)

/* Worker state, one entry per candidate. */
byte sealed[NW];                /* highest generation sealed */
byte rec[NW];                   /* tasks with a record */
bit  closed[NW];                /* submission closed: it never starts here */
bit  restarted[NW];             /* its incarnation differs from the ticket's */
bit  expired[NW];               /* ticket expired on this worker's clock */
byte faults;

/* Messages, by worker. An owner (the holder of the worker's lease) may at any
 * time send a queued start under the current epoch (it holds the lease, perhaps
 * again) or under an older one (it was paused). When the lease is granted anew,
 * all current starts become old ones. */
short queued[NW];               /* KEY bits, tasks handed to an owner, start not sent */
short current[NW];              /* KEY bits, starts sent under this epoch */
short old[NW];                  /* KEY bits, starts sent under older epochs */
short notrun[NW];               /* KEY bits, "not run" answers */
byte  ran[NW];                  /* task bits, results sent to the driver */

/* State that the invariants check. */
byte begun[NT];                 /* starts per task */
bit  told_not_run;

inline begin(w, now, g, t) {
  begun[t]++;
  STARTS_ONCE(begun[t] <= 1);
  NOT_RUN_TRUE(!told_not_run);
  ONE_HOLDER(now);
  if
  :: g >= G_REC1 -> REACHED(1)
  :: else -> skip
  fi;
  rec[w] = rec[w] | (1 << t);
  ran[w] = ran[w] | (1 << t)
}

inline say_not_run() {
  told_not_run = 1;
  for (k : 0 .. NT - 1) { NOT_RUN_TRUE(begun[k] == 0) }
  k = 0
}

inline say_complete() {
  for (k : 0 .. NT - 1) { COMPLETE(begun[k] > 0) }
  k = 0
}

/* worker: answers "not run". Epochs and sealed generations only grow, so any
 * copy of a refused start is refused too and the model drops it. Only the home
 * acts on the answer. */
inline refuse(w, g, t) {
  current[w] = current[w] & ~KEY(g, t);
  old[w] = old[w] & ~KEY(g, t);
  notrun[w] = notrun[w] | (BY_HOME(g) * KEY(g, t))
}

/* worker: one start arrives. The record is checked before any refusal, because
 * a duplicate of an executed start must not be answered "not run". A restarted
 * worker, or one where the ticket has expired, has no record of earlier copies
 * and therefore does not answer "not run" either. */
inline deliver(w, now, g, t) {
  if
  :: !START_SAME(w) || expired[w] ->
#ifdef NO_LOST_ANSWER
     refuse(w, g, t)
#else
     skip
#endif
  :: else ->
     if
     :: RECORDED(w, t) ->
#ifdef NO_RECORD_ANSWER
        refuse(w, g, t)
#else
        skip
#endif
     :: else ->
        if
        :: EPOCH_OK(now) && SEAL_OK(w, g) -> begin(w, now, g, t)
        :: else -> refuse(w, g, t)
        fi
     fi
  fi
}

/* worker: its lease is granted under a new epoch. */
inline move(w) {
  old[w] = old[w] | current[w]; current[w] = 0
}

/* worker: loses its records, by a restart or by the expiry of the ticket. */
inline forget(w) {
  rec[w] = 0; sealed[w] = 0; closed[w] = 0
}

/* worker: answers a Seal call. res: 0 cannot answer, 1 sealed, 2 a higher
 * generation is sealed here. */
inline seal(w, g, res) {
  if
  :: !SEAL_SAME(w) -> res = 0
#ifndef NO_SEAL_EXPIRY
  :: SEAL_SAME(w) && expired[w] -> res = 0
#endif
  :: else ->
#ifdef EPOCH_ONLY
#ifdef EPOCH_BOUND              /* batches carry the epoch that the home knew */
     queued[w] = 0;
#endif
     move(w); res = 1
#else
     if
     :: g >= sealed[w] -> sealed[w] = g; res = 1
     :: else -> res = 2
     fi
#endif
  fi
}

/* driver: hands task t to an owner of worker w under generation g. */
inline place(w, g, t) {
  queued[w] = queued[w] | KEY(g, t)
}

/* driver: closes the submission at worker w, which proves that it never
 * starts, then answers "not run". */
inline close_not_run(w, g, res) {
#ifdef NO_CLOSE
  say_not_run()
#else
  seal(w, g, res);
  if
  :: res == 1 -> closed[w] = 1; say_not_run()
  :: else -> skip               /* superseded or no reply: answers "unknown" */
  fi
#endif
}

/* One loop option for each generation (and task). */
#if NT == 2
#define EACH(STEP) STEP(1, 0) STEP(2, 0) STEP(3, 0) STEP(5, 0) \
                   STEP(1, 1) STEP(2, 1) STEP(3, 1) STEP(5, 1)
#elif defined(SEAL_AGAIN)
#define EACH(STEP) STEP(1, 0) STEP(2, 0) STEP(3, 0) STEP(4, 0) STEP(5, 0) \
                   STEP(6, 0) STEP(7, 0)
#else
#define EACH(STEP) STEP(1, 0) STEP(2, 0) STEP(3, 0) STEP(5, 0)
#endif

#define DELIVER(g, t) \
  :: d_step { HAS(current[w], KEY(g, t)) -> deliver(w, true, g, t) } \
  :: d_step { HAS(old[w], KEY(g, t)) -> deliver(w, false, g, t) } \
  REFUSE_FULL(g, t)

proctype Worker(byte w) {
  do
  EACH(DELIVER)
  :: d_step { current[w] != 0 -> move(w) }
  :: d_step { faults < MAXFAULT && !expired[w] && !restarted[w] ->
       faults++; restarted[w] = 1; forget(w) }
  :: d_step { faults < MAXFAULT && !expired[w] && !restarted[w] ->
       faults++; expired[w] = 1; forget(w) }
  od
}

#define SEND(g, t) \
  :: d_step { HAS(queued[w], KEY(g, t)) -> \
       current[w] = current[w] | KEY(g, t); \
       queued[w] = queued[w] & ~KEY(g, t) } \
  :: d_step { HAS(queued[w], KEY(g, t)) -> \
       old[w] = old[w] | KEY(g, t); \
       queued[w] = queued[w] & ~KEY(g, t) } \
  :: d_step { HAS(queued[w], KEY(g, t)) -> \
       notrun[w] = notrun[w] | (BY_HOME(g) * KEY(g, t)); \
       queued[w] = queued[w] & ~(BATCH_ONCE * KEY(g, t)) }

/* owner: sends a queued task once, or refuses it before sending it. */
proctype Owner(byte w) {
  do
  EACH(SEND)
  od
}

/* State of the home. */
bit idle[NT] = 1;               /* proven: this home started the task on no worker */
bit found[NT];                  /* the task is known to have started */
bit answered;                   /* the home gave its final answer */
bit ending;                     /* cancelled, refused or past its deadline */

/* home: places one task, tries the other worker after "not run". */
proctype HomeTask(byte t) {
  byte w, res, tried;
  byte g = G_HOME;
next:
  atomic { !ending && tried != EVERY ->
    if
    :: !HAS(tried, 1) -> w = 0
    :: !HAS(tried, 2) && (t > 0 || g > G_HOME || tried) -> w = 1 /* symmetry */
    fi;
    tried = tried | (1 << w);
    idle[t] = 0;
    place(w, g, t) }
  if
  :: atomic { HAS(ran[w], 1 << t) -> found[t] = 1; w = 0; tried = 0; g = 0 }
  :: atomic { HAS(notrun[w], KEY(g, t)) -> idle[t] = 1; goto next }
#ifndef PATIENT_HOME            /* defined: the home waits for a reply and never seals for it */
  :: atomic { g == G_HOME -> g = G_RAISED; seal(w, g, res);
       if
       :: res == 1 && !HAS(rec[w], 1 << t) -> /* proven: not started */
          REACHED(6); idle[t] = 1; tried = 0; res = 0; goto next
       :: res == 1 && HAS(rec[w], 1 << t) -> found[t] = 1
       :: res != 1 -> skip      /* superseded or worker lost: unknown */
       fi;
       w = 0; tried = 0; g = 0; res = 0 }
#endif
  fi
}

/* home: gives the final answer, "not run" or complete. */
proctype HomeEnd() {
  byte k, w, res;
  if
  :: atomic { ending = 1 };
     atomic { idle[0] && idle[NT - 1] ->
       select(w : 0 .. NW - 1);
       close_not_run(w, G_RAISED, res); REACHED(4 + told_not_run); w = 0; res = 0; answered = 1 }
  :: atomic { found[0] && found[NT - 1] -> say_complete(); answered = 1 }
  fi
}

/* An entry VM that is not the home recovers the submission. */
proctype Recover(byte g) {
  byte k, w, res, asked, seen, out, at;
  bit over;
  do
  :: atomic { (asked | out) != KNOWN ->
       if
       :: !HAS(asked | out, 1) -> w = 0
       :: !HAS(asked | out, 2) && KNOWN > 1 -> w = 1
       fi;
       seal(w, g, res);
       if
       :: res == 1 -> asked = asked | (1 << w);
          seen = seen | rec[w]; over = over | closed[w]
       :: res != 2 -> out = out | (1 << w)  /* no reply, or the reply is lost */
       :: res == 2 -> goto yield
       fi;
       res = 0; w = 0 }
  :: (asked | out) == KNOWN -> break
  od;
  atomic {
    if
    :: over -> REACHED(2); say_not_run(); goto yield
    :: !over && seen == ALL -> REACHED(3); say_complete(); goto yield
    :: else -> skip
    fi;
#ifdef NO_UNKNOWN
    if
    :: asked != KNOWN && seen == 0 -> say_not_run(); goto yield
    :: else -> skip
    fi;
#endif
#ifndef NO_ASK_ALL
    if
    :: asked != KNOWN -> goto yield       /* tasks not seen may have started */
    :: else -> skip
    fi;
#endif
    out = 0 }
  if
  :: atomic { seen == 0 -> select(w : 0 .. NW - 1); close_not_run(w, g, res) }
  :: atomic {
       for (k : 0 .. NT - 1) {
         if
         :: !HAS(seen, 1 << k) -> select(w : 0 .. NW - 1); place(w, g, k)
         :: else -> skip
         fi
       }
       k = 0; at = w; w = 0 }
     if
     :: atomic { ((ran[0] | ran[1]) & ALL) == ALL -> say_complete() }
#ifdef SEAL_AGAIN               /* a start without a reply; one task only */
     :: atomic { seal(at, RAISED(g), res);
          if
          :: res == 1 && rec[at] == 0 && !closed[at] ->
             select(w : 0 .. NW - 1); place(w, RAISED(g), 0); w = 0
          :: else -> skip       /* adopts, yields or answers "unknown" */
          fi }
#endif
     fi
  fi;
yield:
  atomic { k = 0; w = 0; res = 0; asked = 0; seen = 0; out = 0; at = 0;
    over = 0 }
}

/* The home VM receives the ticket again. With the guards it attaches the caller
 * or returns the retained answer, and a restarted home VM recovers. Without one
 * of them it starts the task. */
#if defined(NO_HOME_INCARNATION) || defined(NO_TOMBSTONE)
proctype StartAgain() {
  byte w;
  atomic {
#ifdef NO_TOMBSTONE
    answered ->
#endif
    select(w : 0 .. NW - 1); place(w, G_HOME, 0); w = 0 }
}
#endif

/* Progress: from any state, one more recovery without further faults ends with
 * a final outcome. Messages are delivered at once; unreachable VMs stay so. */
#ifdef LAST_ASK
proctype LastAsk() {
  byte w, res, seen;
  bit over, gone;
  d_step {
    for (w : 0 .. NW - 1) {
      seal(w, G_LAST, res);
      PROGRESS(res != 2);
      if
      :: res == 1 -> seen = seen | rec[w]; over = over | closed[w]
      :: else -> gone = 1
      fi
    }
    w = 0;
    if
    :: over || gone || seen == ALL -> skip      /* the outcome is final already */
    :: else ->
       for (res : 0 .. NT - 1) {
         if
         :: !HAS(seen, 1 << res) -> deliver(w, true, G_LAST, res);
            PROGRESS(HAS(rec[w], 1 << res))
         :: else -> skip
         fi
       }
    fi;
    w = 0; res = 0; seen = 0; over = 0; gone = 0 }
}
#endif

init {
  atomic {
    run Worker(0); run Worker(1);
    run Owner(0); run Owner(1);
    run HomeTask(0);
#if NT == 2
    run HomeTask(1);
#endif
    run HomeEnd();
#if defined(NO_HOME_INCARNATION) || defined(NO_TOMBSTONE)
    run StartAgain();
#endif
#ifdef LAST_ASK
    run LastAsk();
#endif
#if RECOVERERS > 1
    run Recover(G_REC2);
#endif
#if RECOVERERS > 0
    run Recover(G_REC1);
#endif
    skip
  }
}
