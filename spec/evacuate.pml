/*
 * A stored submission of one task leaves an evacuated domain. Domain A has a shard with two
 * holders one after the other, the first of which may not know that it has been replaced; domain
 * B has one. README.md maps each step to the Go code.
 *
 * Network: what the store is asked to do may be done at any later time. Workers of A do nothing
 * for a token below the highest that they have seen. Run numbers, lost answers to starts, and ends
 * that are not stored yet are searched in kept.pml.
 *
 * -DNO_<GUARD> removes one guard. check.sh expects a violation for each.
 */
#define A 0
#define B 1

byte record = A;                /* shard that the stored record names */
byte revision = 1;              /* of the record */
byte holder = 1;                /* of A's shard, in the store */
byte fence = 1;                 /* highest token that A's workers have seen */
bit  live;                      /* the task runs */
bit  completed;
bit  evacuated;                 /* A, by the store */
bit  stood;                     /* it was when A's shard changed hands, and still is */
bit  sent;                      /* the first holder's move, on its way */
bit  answered;
bit  stored;                    /* it was done */

inline begin() {
  assert(!live);                        /* never two runs at once */
  assert(!completed);                   /* none after its end */
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

#ifdef NO_GUARD                 /* the record's revision is the only condition */
#define MAY_MOVE (record == A && revision == 1)
#else
#define MAY_MOVE (record == A && revision == 1 && holder == 1)
#endif

proctype Store() {
  d_step { sent -> stored = MAY_MOVE;
    if
    :: stored -> record = B; revision = 2
    :: else -> skip
    fi;
    sent = false; answered = true }
}

#ifdef NO_REST                  /* it goes while its task runs */
#define AT_REST true
#else
#define AT_REST !started
#endif

proctype First() {
  bit told, started, moving;
  do
  :: told = evacuated
  :: d_step { !told && !moving && !started && fence == 1 -> started = true; begin() }
  :: d_step { told && !moving && AT_REST && !answered -> moving = true; sent = true }
  :: d_step { moving && answered && !stored -> moving = false }
  :: moving && answered && stored -> break
  :: started && completed -> break
  :: fence == 2 -> break                /* its workers say so */
  od
}

proctype Second() {
  bit told;
  d_step { holder = 2; stood = evacuated };
  fence = 2;                            /* it lists A's workers, and adopts what runs */
  if
  :: record != A -> goto gone
  :: record == A -> skip
  fi;
#ifndef NO_ASK                  /* it waits for its watch, which may be silent */
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

proctype Other() {
  d_step { record == B && !completed -> begin() }
}

init {
  atomic { run Operator(); run Worker(); run Store(); run First(); run Second(); run Other() }
}
