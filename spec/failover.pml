/*
 * Failover with acknowledgements and sessions.
 *
 * Go packages: internal/failover (raise, fence, promote, follow), internal/watermark (confirmation of
 * commits), pkg/position (coverage of session floors), internal/standin (the platform's side).
 * Transitions covered: write, replicate, confirm, acknowledge, raise a term, fence, promote, follow,
 * crash of an instance, loss of the control leader, session read on any instance.
 *
 * Bounds: 3 instances, 3 terms, 3 writes. Messages are actions that may happen at any later time, or
 * never, which covers loss, delay and cuts; a confirmation stays usable after it was sent.
 *
 * Invariants:
 *  I1 the primary promoted last holds every acknowledged write (at promotion and at acknowledgement);
 *  I2 a term has at most one primary;
 *  I3 a session read on an instance that covers the floor sees the acknowledged write;
 *  I4 the same for a session without a token, whose floor is the highest position on a majority.
 *
 * Switches that remove one safeguard each; every one must give a counterexample:
 *  NOCONFIRM  acknowledge when the primary alone has committed
 *  ANYTERM    count a confirmation of an instance that follows another term
 *  NEWPRIMARY acknowledge a write of an older term when the new primary alone holds it
 *  OLDFLOOR   keep the floor of the old term for such a write
 *  NOPROMISE  compare positions without a promise to refuse lower terms
 *  MINORITY   promote after one promise
 *  ANYMEMBER  promote any member that promised instead of the most advanced
 *  VOLATILE   a new control leader reuses the term, since the old one had not made it durable
 *  EARLYTERM  an instance lists a term before its log has reached the term's start
 *  OFFSETONLY a session compares offsets without terms
 */
#define N 3
#define T 3
#define W 3
#define NONE 9

typedef Log { byte size; byte id[W]; bool has[4]; byte start[4] }

Log lg[N];               /* records by offset (1..size); has/start: own history of terms */
byte promised[N], following[N], source[N];
bool leads[N], down[N];
byte wterm[W], woff[W], conf[W]; /* position of each write, confirmations */
byte fterm[W];                   /* term of the floor of its session */
bool acked[W];
byte writes, crashes;
byte term;               /* highest durable term in the control log */
bool fencing;
byte promises, ready;    /* bit sets */
byte plast[N], plen[N];  /* positions as promised */
byte primary, pterm;     /* primary promoted last */
byte first[4];           /* primary of each term, for I2 */

/* The instance i holds record w if its own log has it at its offset. */
#define HOLDS(i, w) (lg[i].size >= woff[w] && lg[i].id[woff[w] - 1] == (w) + 1)
#ifdef ANYTERM
#define SAMETERM(i, w) true
#else
#define SAMETERM(i, w) (following[i] == wterm[w])
#endif
#ifdef NEWPRIMARY
#define SETTLED(s) ((s) & (1 << primary))
#else
#define SETTLED(s) MAJORITY(s)
#endif
#define MAJORITY(s) ((s) == 3 || (s) == 5 || (s) == 6 || (s) == 7)

inline last_term(i, out) {
  out = 0;
  if :: lg[i].has[1] -> out = 1 :: else fi;
  if :: lg[i].has[2] -> out = 2 :: else fi;
  if :: lg[i].has[3] -> out = 3 :: else fi
}

inline check_held() {
  k = 0;
  do
  :: k < writes ->
     if
     :: acked[k] && pterm > wterm[k] -> assert(HOLDS(primary, k)) /* I1 */
     :: else
     fi;
     k++
  :: else -> break
  od;
  k = 0
}

/* Adopts the starts of the source's history that the log has reached. */
inline adopt(i, p) {
  k = 1;
  do
  :: k <= T ->
#ifdef EARLYTERM
     if :: lg[p].has[k] -> lg[i].has[k] = 1; lg[i].start[k] = lg[p].start[k] :: else -> lg[i].has[k] = 0 fi;
#else
     if
     :: lg[p].has[k] && lg[p].start[k] <= lg[i].size -> lg[i].has[k] = 1; lg[i].start[k] = lg[p].start[k]
     :: else -> lg[i].has[k] = 0; lg[i].start[k] = 0
     fi;
#endif
     k++
  :: else -> break
  od;
  k = 0
}

/* Cuts the log of i back to the records that it shares with p. */
inline truncate(i, p) {
  k = 0;
  do
  :: k < lg[i].size && k < lg[p].size && lg[i].id[k] == lg[p].id[k] -> k++
  :: else -> break
  od;
  j = k;
  do
  :: j < W -> lg[i].id[j] = 0; j++
  :: else -> break
  od;
  lg[i].size = k; j = 0; k = 0
}

/* Whether instance i covers the floor ft/fo by its own report. */
inline covers(i, ft, fo, out) {
  out = 0;
#ifdef OFFSETONLY
  if :: lg[i].size >= fo -> out = 1 :: else fi;
#else
  last_term(i, y);
  if
  :: y == ft -> if :: lg[i].size >= fo -> out = 1 :: else fi
  :: y > ft ->
     /* start of the first later term in the instance's own history */
     k = ft + 1;
     do
     :: k <= T && !lg[i].has[k] -> k++
     :: else -> break
     od;
     if
     :: k <= T ->
        if
        :: lg[i].size >= fo || lg[i].size >= lg[i].start[k] -> out = 1
        :: else
        fi
     :: else
     fi;
     k = 0
  :: else
  fi;
  y = 0
#endif
}

/* A session without a token takes the highest position on instances i and j as its floor and reads
   on any instance that covers it. */
inline fresh_read(i, j) {
  if
  :: !down[i] && !down[j] ->
     last_term(i, x); last_term(j, y);
     if
     :: x > y || (x == y && lg[i].size >= lg[j].size) -> ft = x; fo = lg[i].size
     :: else -> ft = y; fo = lg[j].size
     fi;
     x = 0; y = 0; p = 0;
     do
     :: p < N ->
        covers(p, ft, fo, ok);
        w = 0;
        do
        :: w < writes -> assert(!ok || !acked[w] || HOLDS(p, w)); w++ /* I4 */
        :: else -> break
        od;
        p++
     :: else -> break
     od;
     p = 0; w = 0; ok = 0; ft = 0; fo = 0
  :: else
  fi
}

active proctype system() {
  byte i, p, w, k, j, best, x, y, ft, fo;
  bool ok;
  atomic {
    /* term 1: instance 0 is primary, the others follow it */
    term = 1; primary = 0; pterm = 1; leads[0] = 1; first[1] = 1;
    i = 0;
    do :: i < N -> promised[i] = 1; following[i] = 1; lg[i].has[1] = 1; i++ :: else -> break od;
    i = 0
  }
end:
  do
  /* a write commits on some instance that believes it is primary of the term it leads */
  :: atomic { writes < W ->
       if :: i = 0 :: i = 1 :: i = 2 fi;
       if
       :: !down[i] && leads[i] && promised[i] <= following[i] && lg[i].size < W ->
          wterm[writes] = following[i]; fterm[writes] = following[i];
          lg[i].id[lg[i].size] = writes + 1; lg[i].size++;
          woff[writes] = lg[i].size; conf[writes] = 1 << i; writes++
       :: else
       fi; i = 0 }
  /* a replica pulls the next record of the primary that it follows */
  :: atomic {
       if :: i = 0 :: i = 1 :: i = 2 fi;
       p = source[i];
       if
       :: !down[i] && !down[p] && !leads[i] && p != i && leads[p] && following[p] == following[i] &&
          promised[i] <= following[i] && lg[i].size < lg[p].size ->
          lg[i].id[lg[i].size] = lg[p].id[lg[i].size]; lg[i].size++;
          adopt(i, p)
       :: else
       fi; i = 0; p = 0 }
  /* a replica reports its position; the report may be used later */
  :: atomic { writes > 0 ->
       if :: i = 0 :: i = 1 :: i = 2 fi;
       w = 0;
       do
       :: w < writes ->
          if
          :: !down[i] && !leads[i] && lg[i].size >= woff[w] && SAMETERM(i, w) ->
             conf[w] = conf[w] | (1 << i)
          :: else
          fi; w++
       :: else -> break
       od; i = 0; w = 0 }
  /* the entry VM acknowledges */
  :: atomic { writes > 0 ->
       w = 0;
       do
       :: w < writes ->
#ifdef NOCONFIRM
          acked[w] = 1;
#else
          if :: MAJORITY(conf[w]) -> acked[w] = 1 :: else fi;
#endif
          w++
       :: else -> break
       od; w = 0;
       check_held() }
  /* after a change of term the entry VM acknowledges what a majority of the newest term holds */
  :: atomic { writes > 0 ->
       w = 0;
       do
       :: w < writes ->
          if
          :: wterm[w] < pterm ->
             k = 0; x = 0;
             do
             :: k < N ->
                if
                :: !down[k] && following[k] == pterm && lg[k].has[pterm] && HOLDS(k, w) -> x = x | (1 << k)
                :: else
                fi; k++
             :: else -> break
             od;
             k = 0;
             if
             :: SETTLED(x) && !acked[w] ->
                acked[w] = 1;
#ifndef OLDFLOOR
                fterm[w] = pterm /* the session's floor names the newest term */
#endif
             :: else
             fi;
             x = 0
          :: else
          fi; w++
       :: else -> break
       od; w = 0;
       check_held() }
  /* the control leader, old or new, makes the next term durable */
  :: atomic { term < T -> term++; fencing = 1; promises = 0; ready = 0 }
#ifdef VOLATILE
  /* a new leader did not learn of the term in use and starts it again */
  :: atomic { term > 1 && !fencing -> fencing = 1; promises = 0; ready = 0 }
#endif
  /* a member answers the fence call */
  :: atomic { fencing ->
       if :: i = 0 :: i = 1 :: i = 2 fi;
       if
       :: !down[i] && promised[i] <= term && !(promises & (1 << i)) ->
#ifndef NOPROMISE
          promised[i] = term;
          if :: leads[i] && following[i] < term -> leads[i] = 0 :: else fi;
#endif
          last_term(i, x); plast[i] = x; plen[i] = lg[i].size;
          promises = promises | (1 << i)
       :: else
       fi; i = 0; x = 0 }
  /* the coordinator promotes */
#ifdef MINORITY
  :: atomic { fencing && promises != 0 ->
#else
  :: atomic { fencing && MAJORITY(promises) ->
#endif
       best = NONE; i = 0;
       do
       :: i < N ->
          if
          :: promises & (1 << i) ->
#ifdef ANYMEMBER
             if :: best = i :: best == NONE -> best = i :: best != NONE fi
#else
             if
             :: best == NONE -> best = i
             :: best != NONE && (plast[i] > plast[best] || (plast[i] == plast[best] && plen[i] > plen[best])) -> best = i
             :: else
             fi
#endif
          :: else
          fi; i++
       :: else -> break
       od; i = 0;
       if
       :: !down[best] && promised[best] <= term ->
          assert(first[term] == 0 || first[term] == best + 1); /* I2 */
          first[term] = best + 1;
          promised[best] = term; following[best] = term; leads[best] = 1; source[best] = best;
          lg[best].has[term] = 1; lg[best].start[term] = lg[best].size;
          primary = best; pterm = term; fencing = 0;
          check_held()
       :: else
       fi; best = 0 }
  /* a member follows the primary of the term */
  :: atomic { !fencing ->
       if :: i = 0 :: i = 1 :: i = 2 fi;
       if
       :: i != primary && !down[i] && !down[primary] && promised[i] <= pterm && following[i] < pterm ->
          promised[i] = pterm; following[i] = pterm; leads[i] = 0; source[i] = primary;
          truncate(i, primary);
          adopt(i, primary)
       :: else
       fi; i = 0 }
  /* one instance may stop for good */
  :: atomic { crashes < 1 ->
       if :: i = 0 :: i = 1 :: i = 2 fi;
       down[i] = 1; crashes++; i = 0 }
  /* a session whose floor is an acknowledged write reads on any instance that covers it */
  :: atomic { writes > 0 ->
       if :: i = 0 :: i = 1 :: i = 2 fi;
       w = 0;
       do
       :: w < writes ->
          if
          :: acked[w] && !down[i] ->
             covers(i, fterm[w], woff[w], ok);
             assert(!ok || HOLDS(i, w)) /* I3 */
          :: else
          fi; w++
       :: else -> break
       od; i = 0; w = 0; ok = 0 }
  :: atomic { writes > 0 -> fresh_read(0, 1); fresh_read(0, 2); fresh_read(1, 2) }
  od
}
