/*
 * Model of an evacuation: a stored submission of one task is reassigned from the shard of an
 * evacuated domain. Domain A's shard has two holders in succession, the first of which may not know
 * that it has been replaced; domain B's shard has one. README.md maps each step to the Go code.
 *
 * Network: the store may carry out a request at any later time. Workers of A reject a fencing token
 * below the highest that they have seen. Run numbers, lost replies to starts and ends that are not
 * stored yet are modelled in kept.pml.
 *
 * -DNO_<GUARD> removes one guard. check.sh expects a violation for each.
 */
#define A 0
#define B 1

byte record = A;                /* domain of the shard in the stored record */
byte revision = 1;              /* of the record */
byte holder = 1;                /* token of A's shard holder, in the store */
byte fence = 1;                 /* highest token that A's workers have seen */
bit  live;                      /* the task runs */
bit  completed;
bit  evacuated;                 /* the store says that A is evacuated */
bit  stood;                     /* since the second holder took A's shard */
bit  sent;                      /* the first holder's reassignment is in flight */
bit  answered;                  /* the store has answered it */
bit  stored;                    /* the store carried it out */

inline begin() {
  assert(!live);                        /* never two runs at once */
  assert(!completed);                   /* no run after the end */
  live = true
}

proctype Operator() {
  byte n = 0;
  do
  :: n < 2 -> evacuated = true; n++
  :: d_step { evacuated -> evacuated = false; stood = false }
  :: n == 2 && !evacuated -> break
  od
}

proctype Worker() {
  do
  :: d_step { live -> live = false; completed = true }
  :: completed -> break
  od
}

#ifdef NO_GUARD                 /* the reassignment checks the record's revision only */
#define MAY_MOVE (record == A && revision == 1)
#else
#define MAY_MOVE (record == A && revision == 1 && holder == 1)
#endif

/* The store carries out the first holder's reassignment, however late. */
proctype Store() {
  d_step { sent -> stored = MAY_MOVE;
    if
    :: stored -> record = B; revision = 2
    :: else -> skip
    fi;
    sent = false; answered = true }
}

#ifdef NO_REST                  /* it is reassigned while its task runs */
#define AT_REST true
#else
#define AT_REST !started
#endif

/* The first holder. told: what it knows of the evacuation. */
proctype First() {
  bit told, started, moving;
  do
  :: told = evacuated
  :: d_step { !told && !moving && !started && fence == 1 -> started = true; begin() }
  :: d_step { told && !moving && AT_REST && !answered -> moving = true; sent = true }
  :: d_step { moving && answered && !stored -> moving = false }
  :: moving && answered && stored -> break
  :: started && completed -> break
  :: fence == 2 -> break                /* its workers reject its token */
  od
}

/* The second holder. */
proctype Second() {
  bit told;
  d_step { holder = 2; stood = evacuated };
  fence = 2;                            /* it lists A's workers and adopts running tasks */
  if
  :: record != A -> goto gone
  :: record == A -> skip
  fi;
#ifndef NO_ASK                  /* it relies on its watch, which may lag */
  told = evacuated;
#endif
  do
  :: told = evacuated
  :: d_step { !told && !live && !completed && record == A && revision == 1 ->
     assert(!stood); begin() }
  :: atomic { told && !live && !completed && record == A && holder == 2 -> record = B; revision = 3 }
  :: completed || record == B -> break
  od;
gone:
  skip
}

/* The holder of B's shard. */
proctype Other() {
  d_step { record == B && !completed -> begin() }
}

init {
  atomic { run Operator(); run Worker(); run Store(); run First(); run Second(); run Other() }
}
