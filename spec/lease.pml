/*
 * Model of the worker lease: two owners, one worker. The lease holder counts the
 * worker's free slots, so two owners that start tasks at the same time would
 * over-commit them. An owner may be paused at any step while the lease goes to
 * the other one.
 *
 * -DNO_<GUARD> removes one guard. check.sh expects a violation for each.
 */
#define SLOTS  2
#define EPOCHS 4                /* bound on lease grants */
#define TASKS  4                /* bound on starts */

byte epoch;                     /* newest epoch the worker granted */
bit  live;                      /* the lease has not expired by the worker's clock */
byte holder;                    /* owner of that epoch */
byte busy[EPOCHS + 1];          /* running tasks, by epoch they started in */
byte running;                   /* tasks running on the worker */
byte sent;                      /* starts sent so far */
byte starts[EPOCHS + 1];        /* starts in flight, by epoch */

/* State of each owner, which may be out of date. */
byte mine[2];                   /* epoch of the lease it believes to hold, 0: none */
byte used[2];                   /* slots it counts as taken */

#ifdef NO_EPOCH
#define ACCEPTED(e) (live)
#else
#define ACCEPTED(e) (live && (e) == epoch)
#endif
#ifdef NO_SINGLE_HOLDER         /* the worker grants while a lease is live */
#define GRANTABLE true
#else
#define GRANTABLE (!live)
#endif

proctype Owner(byte o) {
  do
  :: d_step { GRANTABLE && epoch < EPOCHS ->          /* Acquire, Granted */
       assert(!live || holder == o);
       epoch++; live = 1; holder = o; mine[o] = epoch;
#ifdef NO_RUNNING_LIST
       used[o] = 0
#else
       used[o] = running
#endif
     }
  :: d_step { mine[o] > 0 && used[o] < SLOTS && sent < TASKS -> /* Start */
       starts[mine[o]]++; used[o]++; sent++ }
  od
}

#define STEP(e) \
  :: d_step { starts[e] > 0 && ACCEPTED(e) -> \
       starts[e]--; busy[e]++; running++; \
       assert(e == epoch); \
       assert(running <= SLOTS) } \
  :: d_step { starts[e] > 0 && !ACCEPTED(e) -> starts[e]-- } \
  :: d_step { busy[e] > 0 -> busy[e]--; running--; \
       if \
       :: live && used[holder] > 0 -> used[holder]-- \
       :: else -> skip \
       fi }

proctype Worker() {
  do
  STEP(1)
  STEP(2)
  STEP(3)
  STEP(4)
  :: d_step { live -> live = 0 }  /* expires by the worker's own clock */
  od
}

init { atomic { run Owner(0); run Owner(1); run Worker() } }
