/*
 * Switches of atmostonce.pml: the invariants, the order of generations, and
 * each guard with the -DNO_<GUARD> that removes it.
 */
/* The invariants. -DINVARIANT=n checks one of them alone. */
#ifndef INVARIANT
#define INVARIANT 0
#endif
#define STARTS_ONCE(p)  assert((p) || (INVARIANT != 0 && INVARIANT != 1))
#define NOT_RUN_TRUE(p) assert((p) || (INVARIANT != 0 && INVARIANT != 2))
#define ONE_HOLDER(p)   assert((p) || (INVARIANT != 0 && INVARIANT != 3))
#define COMPLETE(p)     assert((p) || (INVARIANT != 0 && INVARIANT != 4))
#define PROGRESS(p)     assert((p) || (INVARIANT != 0 && INVARIANT != 5))
#ifndef REACH
#define REACH 0
#endif
#define REACHED(n)      assert(REACH != n)  /* shows that searches get there */

/* Generations, ordered as workers compare them. The home stays below every
 * recoverer, because it may seal a part of the candidates only. */
#define G_HOME  1
#define G_REC1  3
#ifdef NO_ABOVE_SEEN            /* the last ask does not outbid the others */
#define G_LAST  3
#else
#define G_LAST  5
#endif
#ifdef NO_AUTHOR                /* counter without author: recoverers tie */
#define G_REC2  3
#else
#define G_REC2  4
#endif
#ifdef NO_FLOOR                 /* the home may outbid a recoverer */
#define G_RAISED 4
#else
#define G_RAISED 2
#endif

#ifdef NO_EPOCH
#define EPOCH_OK(now) true
#else
#define EPOCH_OK(now) (now)
#endif
#if defined(NO_SEAL) || defined(EPOCH_ONLY)
#define SEAL_OK(w, g) true
#else
#define SEAL_OK(w, g) (g >= sealed[w] && !closed[w])
#endif
#ifdef NO_START_INCARNATION
#define START_SAME(w) true
#else
#define START_SAME(w) (!restarted[w])
#endif
#ifdef NO_SEAL_INCARNATION
#define SEAL_SAME(w) true
#else
#define SEAL_SAME(w) (!restarted[w])
#endif
#ifdef NO_BATCH_ONCE
#define BATCH_ONCE 0
#else
#define BATCH_ONCE 1
#endif
#ifdef NO_RECORD
#define RECORDED(w, t) false
#else
#define RECORDED(w, t) HAS(rec[w], 1 << t)
#endif
#ifdef NO_DIGEST_CHECK          /* its VM list lacks worker 1, it goes on */
#define KNOWN 1
#else
#define KNOWN EVERY
#endif
#ifdef NO_FINAL_REFUSAL         /* a full worker refuses, later copies start */
#define REFUSE_FULL(g, t) \
  :: d_step { HAS(current[w], KEY(g, t)) && !HAS(rec[w], 1 << t) -> \
       notrun[w] = notrun[w] | (BY_HOME(g) * KEY(g, t)) }
#else
#define REFUSE_FULL(g, t)
#endif
