/*
 * The control log with a lost disk and the replacement of a voter.
 *
 * Go packages: internal/controllog (election, replication, commit, membership), internal/disk (sync,
 * identity). Transitions covered: campaign with its votes, append with acknowledgement, commit,
 * restart, loss of a data folder, removal of a voter, catch-up and addition of a spare.
 *
 * Bounds: 3 voters and 1 spare, 3 terms, 3 entries, 2 lost data folders, the second one only after
 * the first voter is out of the committed membership. Appends may be delayed or never happen; a
 * message of a lower term is refused. An election is one step.
 *
 * Invariants:
 *  I1 no two different entries are committed at one index;
 *  I2 a leader holds every entry that a leader of a lower term committed before its election;
 *  I3 a term has at most one leader.
 *
 * Switches that remove one safeguard each; every one must give a counterexample:
 *  NOSYNC      acknowledge entries before they are synced
 *  SAMEID      a voter without its data folder votes on under its old identity
 *  NOTCURRENT  vote for a candidate whose log is behind
 *  JUMP        replace a voter in one step while the old majority may still act
 *  PARTIAL     count acknowledgements of any two members, voters or not
 */
#define N 4
#define T 3
#define K 3
#define FOLLOWER 0
#define LEADER 1

typedef Log { byte size; byte term[K]; byte mask[K] }  /* mask: membership set by the entry, 0 for others */
Log lg[N];
byte term[N], role[N], durable[N];
bool gone[N];
typedef Acks { byte upto[N] }
Acks ack[4];             /* by term: entries that each member acknowledged to the leader */
byte cterm[K], cmask[K]; /* committed entries; 0 means none */
byte cwhen[K];           /* term of the leader that committed the entry first */
byte known[N];           /* entries that a leader knows to be committed */
byte elected[4];         /* leader of each term + 1 */
byte losses;

#define COUNT(s) (((s) & 1) + (((s) >> 1) & 1) + (((s) >> 2) & 1) + (((s) >> 3) & 1))
#define QUORUM(s, c) (2 * COUNT((s) & (c)) > COUNT(c))

#ifdef NOTCURRENT
#define VOTABLE(a, b) true
#else
#define VOTABLE(a, b) CURRENT(a, b)
#endif
#ifdef PARTIAL
#define ENOUGH(s, c) (COUNT(s) >= 2)
#else
#define ENOUGH(s, c) QUORUM(s, c)
#endif

/* Membership by the last entry of the log that sets one. */
inline members(n, res) {
  res = 7; k = 0;
  do
  :: k < lg[n].size -> if :: lg[n].mask[k] -> res = lg[n].mask[k] :: else fi; k++
  :: else -> break
  od;
  k = 0
}

inline push(n, value) {
  lg[n].term[lg[n].size] = term[n];
  lg[n].mask[lg[n].size] = value;
  lg[n].size++;
  durable[n] = lg[n].size;
  ack[term[n]].upto[n] = lg[n].size
}

/* Whether the log of a is at least as current as that of b. */
#define LAST(n) (lg[n].size == 0 -> 0 : lg[n].term[lg[n].size - 1])
#define CURRENT(a, b) (LAST(a) > LAST(b) || (LAST(a) == LAST(b) && lg[a].size >= lg[b].size))

/* A leader that committed an entry of its own term and has no membership change under way. */
inline settled(n, res) {
  res = 0; k = 0;
  do
  :: k < lg[n].size ->
     if :: k < known[n] && lg[n].term[k] == term[n] -> res = 1 :: else fi;
     k++
  :: else -> break
  od;
  k = known[n];
  do
  :: k < lg[n].size -> if :: lg[n].mask[k] -> res = 0 :: else fi; k++
  :: else -> break
  od;
  k = 0
}

inline pick(n) { if :: n = 0 :: n = 1 :: n = 2 :: n = 3 fi }

active proctype system() {
  byte n, m, k, c, s;
  bool ok;
end:
  do
  /* a campaign that wins; a lost one only raises terms. Late wins are covered by leaders that stay
     in office without knowing of a higher term. */
  :: atomic { pick(n); members(n, c);
       if
       :: !gone[n] && role[n] == FOLLOWER && term[n] < T && (c & (1 << n)) ->
          s = 1 << n; m = 0;
          do
          :: m < N ->
             if
             :: m != n && !gone[m] && (c & (1 << m)) && term[m] <= term[n] && VOTABLE(n, m) ->
                if
                :: s = s | (1 << m)
                :: true
                fi
             :: else
             fi; m++
          :: else -> break
          od;
          if
          :: QUORUM(s, c) ->
             m = 0;
             do
             :: m < N ->
                if :: s & (1 << m) -> role[m] = FOLLOWER; known[m] = 0 :: else fi; m++
             :: else -> break
             od;
             k = term[n] + 1; m = 0;
             do
             :: m < N -> if :: s & (1 << m) -> term[m] = k :: else fi; m++
             :: else -> break
             od;
             assert(elected[k] == 0); /* I3 */
             elected[k] = n + 1;
             role[n] = LEADER;
             ack[k].upto[n] = lg[n].size;
             k = 0;
             do
             :: k < K && cterm[k] ->
                assert(cwhen[k] >= term[n] || (lg[n].size > k && lg[n].term[k] == cterm[k] && lg[n].mask[k] == cmask[k])); /* I2 */
                k++
             :: else -> break
             od;
             k = 0;
             if :: lg[n].size < K -> push(n, 0) :: else fi
          :: else
          fi
       :: else
       fi; n = 0; m = 0; c = 0; s = 0 }
  /* append and acknowledge */
  :: atomic { pick(n); pick(m);
       if
       :: n != m && !gone[n] && !gone[m] && role[n] == LEADER && term[m] <= term[n] ->
          if :: term[m] < term[n] -> term[m] = term[n] :: else fi;
          role[m] = FOLLOWER; known[m] = 0;
          k = 0;
          do
          :: k < lg[n].size && k < lg[m].size && lg[n].term[k] == lg[m].term[k] -> k++
          :: else -> break
          od;
          if
          :: k < lg[n].size ->
             lg[m].term[k] = lg[n].term[k]; lg[m].mask[k] = lg[n].mask[k]; k++;
             c = k;
             do
             :: c < K -> lg[m].term[c] = 0; lg[m].mask[c] = 0; c++
             :: else -> break
             od;
             lg[m].size = k
          :: else
          fi;
#ifdef NOSYNC
          if :: durable[m] > lg[m].size -> durable[m] = lg[m].size :: else fi;
#else
          durable[m] = lg[m].size;
#endif
          if :: ack[term[n]].upto[m] < k -> ack[term[n]].upto[m] = k :: else fi;
          k = 0; c = 0
       :: else
       fi; n = 0; m = 0 }
  /* commit */
  :: atomic { pick(n);
       if
       :: !gone[n] && role[n] == LEADER && known[n] < lg[n].size ->
          m = lg[n].size;
          do
          :: m > known[n] && lg[n].term[m - 1] == term[n] ->
             s = 0; k = 0;
             do
             :: k < N -> if :: ack[term[n]].upto[k] >= m -> s = s | (1 << k) :: else fi; k++
             :: else -> break
             od;
             k = 0;
             members(n, c);
             if
             :: ENOUGH(s, c) ->
                k = 0;
                do
                :: k < m ->
                   assert(cterm[k] == 0 || (cterm[k] == lg[n].term[k] && cmask[k] == lg[n].mask[k])); /* I1 */
                   if :: cterm[k] == 0 -> cwhen[k] = term[n] :: else fi;
                   cterm[k] = lg[n].term[k]; cmask[k] = lg[n].mask[k]; k++
                :: else -> break
                od;
                k = 0; known[n] = m;
                break
             :: else -> m--
             fi
          :: else -> break
          od;
          s = 0; c = 0
       :: else
       fi; n = 0; m = 0 }
  /* restart */
  :: atomic { pick(n);
       if
       :: !gone[n] && (role[n] != FOLLOWER || durable[n] < lg[n].size) ->
          role[n] = FOLLOWER; known[n] = 0;
          k = durable[n];
          do
          :: k < K -> lg[n].term[k] = 0; lg[n].mask[k] = 0; k++
          :: else -> break
          od;
          lg[n].size = durable[n]; k = 0
       :: else
       fi; n = 0 }
  /* a data folder is lost; the second loss comes after the repair */
  :: atomic { losses < 2 -> pick(n);
       c = 7; k = 0;
       do
       :: k < K -> if :: cmask[k] -> c = cmask[k] :: else fi; k++
       :: else -> break
       od;
       k = 0;
       /* voters of the committed membership whose folders are gone */
       s = c & ((gone[0] -> 1 : 0) | (gone[1] -> 2 : 0) | (gone[2] -> 4 : 0) | (gone[3] -> 8 : 0));
       if
       :: !gone[n] && s == 0 && (losses == 0 || (c & 8)) ->
          losses++; role[n] = FOLLOWER; known[n] = 0;
          k = 0;
          do
          :: k < K -> lg[n].term[k] = 0; lg[n].mask[k] = 0; k++
          :: else -> break
          od;
          k = 0;
          lg[n].size = 0; durable[n] = 0; term[n] = 0;
#ifndef SAMEID
          gone[n] = 1
#endif
       :: else
       fi; n = 0; c = 0; s = 0 }
  /* membership: remove one voter, then add the spare once it holds every committed entry */
  :: atomic { pick(n);
       if
       :: !gone[n] && role[n] == LEADER && lg[n].size < K ->
          settled(n, ok); members(n, c);
          if
          :: ok && c == 7 ->
             m = 2; /* the voters are alike, so that it does not matter which one is removed */
#ifdef JUMP
             if :: m != n -> push(n, (c & ~(1 << m)) | 8) :: else fi
#else
             if :: m != n -> push(n, c & ~(1 << m)) :: else fi
#endif
          :: ok && c != 7 && !(c & 8) && ack[term[n]].upto[3] >= known[n] -> push(n, c | 8)
          :: else
          fi;
          ok = 0; c = 0; m = 0
       :: else
       fi; n = 0 }
  od
}
