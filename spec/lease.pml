/*
 * Worker lease: two owners, one worker. The holder counts the free slots, so
 * the worker's slots are over-committed as soon as two owners start tasks.
 * Owners may be paused at any step; the lease moves meanwhile.
 *
 * -DNO_<GUARD> removes one guard. check.sh expects a violation for each.
 */
#define SLOTS  2
#define EPOCHS 4                /* grants that are searched */
#define TASKS  4                /* starts that are searched */

byte epoch;                     /* newest epoch the worker granted */
bit  live;                      /* its lease has not lapsed, worker's clock */
byte holder;                    /* owner of that epoch */
byte busy[EPOCHS + 1];          /* running tasks, by epoch they started in */
byte running;
byte sent;
byte starts[EPOCHS + 1];        /* starts on their way, by epoch */

/* What each owner believes. */
byte mine[2];                   /* epoch it holds, 0: none */
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
  :: d_step { live -> live = 0 }  /* lapses on the worker's own clock */
  od
}

init { atomic { run Owner(0); run Owner(1); run Worker() } }
