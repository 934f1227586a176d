/*
 * Model of a stored submission: one task, its record in the store, two workers,
 * and two successive holders of the shard, the first of which may not know that
 * it has been replaced. README.md maps each step to the Go code.
 *
 * Network: a sent start may be carried out late, never or several times.
 * Holder 1 uses run numbers 1 and 2, holder 2 uses 3 and 4, because run numbers
 * grow with the fencing token.
 *
 * -DNO_<GUARD> removes one guard. check.sh expects a violation for each.
 */
#define NW 2
#define MAX(a, b) ((a) > (b) -> (a) : (b))

byte token[NW];                 /* highest fencing token that a worker has seen */
byte live[NW];                  /* run in progress there; 0: none */
byte barred[NW];                /* runs up to this number never start there */
byte done[NW];                  /* completed run, listed until acknowledged; 0: none */
byte record;                    /* 0 none, 1 open, 2 final */
byte holder = 1;                /* token of the shard's holder, in the store */
bit  alive[3];                  /* by token: the holder may still extend leases */
bit  sent[16];                  /* starts sent; never lost, so any may arrive again */
bit  noted;                     /* the task's end is stored or acknowledged */
bit  completed;

#define MSG(h, w, r) ((((h) - 1) * NW + (w)) * 4 + (r) - 1)

#ifdef NO_TOKEN                 /* the worker does not compare tokens */
#define TOKEN_OK(h, w) true
#else
#define TOKEN_OK(h, w) ((h) >= token[w])
#endif

#ifdef NO_BAR                   /* a stopped run may still start later */
#define RUN_OK(r, w) (live[w] != (r) && done[w] != (r))
#else
#define RUN_OK(r, w) ((r) > barred[w] && live[w] != (r))
#endif

inline begin(h, w, r) {
  token[w] = MAX(token[w], h);
  assert(live[0] == 0 && live[1] == 0);   /* never two runs at once */
  assert(!noted);                       /* no run after its end is recorded */
  live[w] = r
}

#define START(h, r) \
  :: d_step { sent[MSG(h, w, r)] && TOKEN_OK(h, w) && RUN_OK(r, w) -> begin(h, w, r) }

proctype Worker(byte w) {
  do
  START(1, 1) START(1, 2) START(2, 3) START(2, 4)
  :: d_step { live[w] != 0 -> done[w] = live[w]; barred[w] = MAX(barred[w], live[w]);
     live[w] = 0; completed = true }
  :: d_step { live[w] != 0 && !alive[token[w]] ->        /* its lease expires */
     barred[w] = MAX(barred[w], live[w]); live[w] = 0 }
  od
}

/* The holder stores the end of the task, then acknowledges it to the worker. */
inline finish(h, w) {
#ifdef NO_STORE_FIRST
  d_step { token[w] = MAX(token[w], h); done[w] = 0; noted = true };
  if
  :: true -> skip
  :: true -> goto gone                  /* the holder dies before the end is stored */
  fi;
#endif
  atomic {
    if
    :: holder == (h) && record == 1 -> record = 2; noted = true
    :: else -> skip
    fi
  };
  d_step {
    if
    :: noted && TOKEN_OK(h, w) -> done[w] = 0
    :: else -> skip
    fi
  }
}

/* Holder 1 starts run 1 at worker 0 and, after stopping it, run 2 at worker 1. */
proctype First() {
  record == 1;
  sent[MSG(1, 0, 1)] = true;
  if
  :: true -> goto gone                  /* it dies or steps down */
  :: done[0] == 1 && TOKEN_OK(1, 0) -> finish(1, 0); goto gone
  :: true ->                            /* the start got no reply */
#ifndef NO_STOP
     if                                 /* stop: the run ends or never starts */
     :: d_step { TOKEN_OK(1, 0) -> token[0] = MAX(token[0], 1);
        barred[0] = MAX(barred[0], 1);
        if
        :: live[0] == 1 -> live[0] = 0
        :: else -> skip
        fi }
     :: !TOKEN_OK(1, 0) -> goto gone    /* stop rejected: it has been replaced */
     fi;
     if                                 /* listing the worker shows which */
     :: TOKEN_OK(1, 0) && done[0] == 1 -> finish(1, 0); goto gone
     :: TOKEN_OK(1, 0) && done[0] == 0 -> skip
     :: !TOKEN_OK(1, 0) -> goto gone
     fi;
#endif
     sent[MSG(1, 1, 2)] = true;
     if
     :: done[1] == 2 && TOKEN_OK(1, 1) -> finish(1, 1)
     :: true -> skip
     fi
  fi;
gone:
  alive[1] = false
}

bit known[NW];                  /* holder 2 knows which run a worker has */

/* Holder 2 lists the runs of a worker under its own token. */
inline list(w) {
  d_step { token[w] = MAX(token[w], 2); known[w] = true }
}

/* Holder 2 cannot reach a worker. It waits until all leases of holder 1, and with
 * them the deadlines of its starts, have expired. */
inline barrier(w) {
  atomic {
#ifndef NO_AUTHORITY
    !alive[1];
    if
    :: token[w] == 1 && live[w] != 0 -> barred[w] = MAX(barred[w], live[w]); live[w] = 0
    :: else -> skip
    fi;
    sent[MSG(1, w, 1)] = false;
    sent[MSG(1, w, 2)] = false;
#endif
    known[w] = true
  }
}

#ifdef NO_LIST_ALL              /* holder 2 goes on when it knows one worker */
#define ALL_KNOWN (known[0] || known[1])
#else
#define ALL_KNOWN (known[0] && known[1])
#endif

/* Holder 2. */
proctype Second() {
  byte at;
  atomic { record != 0; holder = 2; alive[2] = true };
again:
  if
  :: record == 2 -> goto gone
  :: record == 1 -> skip
  fi;
  do
  :: !known[0] -> if :: true -> list(0) :: true -> barrier(0) fi
  :: !known[1] -> if :: true -> list(1) :: true -> barrier(1) fi
  :: done[0] != 0 && token[0] == 2 -> finish(2, 0); goto again
  :: done[1] != 0 && token[1] == 2 -> finish(2, 1); goto again
  :: atomic { ALL_KNOWN && live[0] == 0 && live[1] == 0 && done[0] == 0 && done[1] == 0 &&
     record == 1 ->
     if :: at = 0 :: at = 1 fi;
     sent[MSG(2, at, 3)] = true }
     (done[at] != 0 && token[at] == 2);
     finish(2, at);
     goto again
  od;
gone:
  skip
}

/* Creates the record for the caller's request. It runs on two VMs, one of which
 * may be seconds late. */
proctype Create() {
#ifdef NO_FINAL_CHECK
  d_step { if :: record != 1 -> record = 1 :: else -> skip fi }
#else
  d_step { if :: record == 0 -> record = 1 :: else -> skip fi }
#endif
}

init {
  alive[1] = true;
  atomic { run Worker(0); run Worker(1); run First(); run Second(); run Create(); run Create() }
}
