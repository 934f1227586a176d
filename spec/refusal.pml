/*
 * Model of the answer to a transient submission of one task that its home recalls. Shard A has two holders in
 * succession, the first of which may go on without knowing that it has been replaced; shard B has one. Holders
 * return the task to the home, which gives it to another holder. README.md maps each step to the Go code.
 *
 * Network: what the home gives and what holders report arrives at any later time or never, in any order.
 *
 * -DNO_<GUARD> removes one guard. check.sh expects a violation for each.
 */
#define A1 0
#define A2 1
#define B1 2
#define NOBODY 3
#define GIVES 4                 /* how often the home may give the task to a holder */

mtype = { returned, rejected, completed };
mtype = { waiting, notRun, unknown, done };

chan toHome = [3] of { mtype, byte, byte, bit };  /* report, holder, serial, whether a run of the task is known */

byte given[3];                  /* serial that the home has given and that has not arrived; 0: none */
bit  recalled[3];               /* a recall has been sent and has not arrived */
bit  begun;                     /* a run of the task has begun */
bit  replaced;                  /* A2 holds shard A */
mtype answer = waiting;

inline begin() {
  begun = true;
  assert(answer != notRun)              /* no start after the answer "not run" */
}

#ifdef NO_RUN_NUMBER            /* a returned task does not say that a run of it is known */
#define RETURNED_RUN 0
#else
#define RETURNED_RUN ran
#endif
#ifdef NO_RECALL_CHECK          /* a recalled task is rejected though it has begun */
#define MAY_REJECT true
#else
#define MAY_REJECT !ran
#endif

/* A holder. has: serial of the part that it has; 0: none. ran: it knows of a run of the task. */
proctype Holder(byte me) {
  byte has;
  bit ran;
  do
  :: d_step { given[me] != 0 -> has = given[me]; given[me] = 0; ran = false }
  :: d_step { has != 0 && !ran -> ran = true; begin() }
  :: atomic { has != 0 && nfull(toHome) -> toHome!returned(me, has, RETURNED_RUN); has = 0; ran = false }
  :: atomic { has != 0 && recalled[me] && MAY_REJECT && nfull(toHome) ->
     recalled[me] = false; toHome!rejected(me, has, 0); has = 0; ran = false }
  :: d_step { recalled[me] && (has == 0 || ran) -> recalled[me] = false }
  :: atomic { has != 0 && ran && nfull(toHome) -> toHome!completed(me, has, 1); has = 0; ran = false }
  :: answer != waiting && has == 0 && given[me] == 0 -> break
  :: me == A1 && replaced -> break      /* it died, with or without a run */
  od
}

proctype Home() {
  byte at = A1, serial = 1, from, number;
  bit mayHaveRun;               /* of the submission */
  bit resent;                   /* of the part */
  bit ran;
  given[A1] = 1;
  do
  :: atomic { at == A1 && !replaced && serial < GIVES -> /* the part is sent again, to the next holder */
     replaced = true; at = A2; serial++; given[A2] = serial;
#ifdef NO_SUBMISSION_FACT
     resent = true
#else
     mayHaveRun = true
#endif
     }
  :: atomic { at == NOBODY && serial < GIVES -> serial++; resent = false;
     if
     :: at = B1
     :: replaced -> at = A2
     :: !replaced -> at = A1
     fi;
     given[at] = serial }
  :: at != NOBODY && !recalled[at] -> recalled[at] = true
  :: atomic { toHome??returned(from, number, ran) ->
     if
     :: at == from && number == serial -> at = NOBODY; resent = false; mayHaveRun = mayHaveRun || ran
     :: else -> skip
     fi }
  :: atomic { toHome??rejected(from, number, ran) ->
     if
     :: at == from && number == serial ->
        if
        :: mayHaveRun || resent -> answer = unknown
        :: else -> answer = notRun; assert(!begun)    /* no start before the answer "not run" */
        fi;
        break
     :: else -> skip
     fi }
  :: atomic { toHome??completed(from, number, ran) ->
     if
     :: at == from && number == serial -> answer = done; break
     :: else -> skip
     fi }
  :: atomic { nempty(toHome) -> toHome?_, from, number, ran }  /* lost */
  :: answer = unknown; break            /* it cannot be served any more */
  od
}

init {
  atomic { run Home(); run Holder(A1); run Holder(A2); run Holder(B1) }
}
