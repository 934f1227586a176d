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
#define REACHED(n)      assert(REACH != n)  /* fails when step n is reachable */

/* Generations (counter, author, raise) as numbers, in the order in which
 * workers compare them. A driver that seals some of the candidates again raises
 * only the last element, so it stays below every later driver, which has a
 * higher counter or a higher author. */
#define G_HOME  1               /* (0, home, 0); raised: 2 */
#define G_REC1  3               /* (1, first recoverer, 0); raised: 4 */
#ifdef NO_AUTHOR                /* no author: both recoverers have equal generations */
#define G_REC2  3
#else
#define G_REC2  5               /* (1, second recoverer, 0); raised: 6 */
#endif
#ifdef NO_ABOVE_SEEN            /* the last recovery is not above the others */
#define G_LAST  3
#else
#define G_LAST  7               /* the last recovery, above every generation seen */
#endif
#ifdef NO_RAISE               /* sealing again raises the counter instead */
#define G_RAISED  5             /* (1, home) above (1, first recoverer) */
#define RAISED(g) ((g) == G_REC1 -> 7 : 6)
#else
#define G_RAISED  2
#define RAISED(g) ((g) + 1)
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
#ifdef NO_DIGEST_CHECK          /* its VM list lacks worker 1 and it continues */
#define KNOWN 1
#else
#define KNOWN EVERY
#endif
#ifdef NO_FINAL_REFUSAL         /* a full worker refuses but starts a later copy */
#define REFUSE_FULL(g, t) \
  :: d_step { HAS(current[w], KEY(g, t)) && !HAS(rec[w], 1 << t) -> \
       notrun[w] = notrun[w] | (BY_HOME(g) * KEY(g, t)) }
#else
#define REFUSE_FULL(g, t)
#endif
