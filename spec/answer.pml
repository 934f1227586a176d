/*
 * Model of results and answers: two submissions of two tasks each share one
 * home VM, and their callers share one connection. Results and answers may
 * arrive late, duplicated or out of order between the submissions.
 *
 * Checked: each caller gets the complete answer of its own submission.
 * -DNO_<GUARD> removes one guard. check.sh expects a violation for each.
 */
#define NS  2                   /* submissions, one caller each */
#define NT  2                   /* tasks of a submission */
#define ALL 3
#define BIT(s, t)  (1 << ((s) * NT + (t)))
#define OUTPUT(s, t) (1 + (s) * NT + (t))   /* what task t of s computes */

byte results;                   /* BIT set: results sent; never cleared, so any may arrive again */
byte got[NS];                   /* bit set of task indexes that the home has */
byte count[NS];                 /* results that the home accepted */
byte output[NS * NT];           /* outputs that the home stores */
byte answers;                   /* complete answers sent on the connection; never cleared */
byte answered;                  /* callers that accepted an answer */

inline take(s, t, from) {       /* home: accepts a result of submission from for s */
#ifdef NO_INDEX_CHECK
  count[s]++;
  output[s * NT + t] = OUTPUT(from, t)
#else
  if
  :: (got[s] & (1 << t)) == 0 -> count[s]++;
     got[s] = got[s] | (1 << t);
     output[s * NT + t] = OUTPUT(from, t)
  :: else -> skip               /* duplicate: dropped */
  fi
#endif
}

proctype Worker(byte s, t) {
  results = results | BIT(s, t)
}

#ifdef NO_SUBMISSION_CHECK      /* the home accepts a result for any open submission */
#define MATCHES(s, from) true
#else
#define MATCHES(s, from) ((s) == (from))
#endif

#define RESULT(from, t) \
  :: d_step { count[s] < NT && MATCHES(s, from) && \
       (results & BIT(from, t)) != 0 -> take(s, t, from) }

proctype Home(byte s) {
  do
  RESULT(0, 0) RESULT(0, 1) RESULT(1, 0) RESULT(1, 1)
  :: count[s] == NT -> break
  od;
  answers = answers | (1 << s)
}

#ifdef NO_TICKET_CHECK          /* the caller accepts any answer that arrives */
#define MINE(s, a) true
#else
#define MINE(s, a) ((s) == (a))
#endif

#define ANSWER(a) \
  :: d_step { (answers & (1 << a)) != 0 && MINE(s, a) -> \
       assert(output[a * NT] == OUTPUT(s, 0)); \
       assert(output[a * NT + 1] == OUTPUT(s, 1)); \
       answered = answered | (1 << s) }

proctype Caller(byte s) {
  if
  ANSWER(0)
  ANSWER(1)
  fi
}

init {
  atomic {
    run Worker(0, 0); run Worker(0, 1); run Worker(1, 0); run Worker(1, 1);
    run Home(0); run Home(1); run Caller(0); run Caller(1)
  }
}

/* Progress: every execution ends with both callers answered. Checked as the
 * absence of invalid end states, because a caller without an answer blocks. */
