/*
 * Failover with acknowledgements and sessions.
 *
 * Go packages: internal/failover (raising a term, fencing, promotion, redirection of replicas),
 * internal/watermark (confirmation of commits), pkg/position (coverage of session floors), internal/standin
 * (the platform's side). Transitions covered: write, replicate, confirm, acknowledge, raise a term, fence,
 * promote, follow, crash of an instance, loss of the control leader, session read on any instance.
 *
 * Bounds: 3 instances, 3 terms, 3 writes. Messages are actions that may happen at any later time, or
 * never, which covers loss, delay and partitions; a confirmation stays usable after it was sent.
 *
 * Invariants:
 *  I1 the primary promoted last has every acknowledged write (at promotion and at acknowledgement);
 *  I2 a term has at most one primary;
 *  I3 a session read on an instance that covers the floor returns the acknowledged write;
 *  I4 the same for a session without a token, whose floor is the highest position on a majority.
 *
 * Switches that remove one safeguard each; every one must give a counterexample:
 *  NOCONFIRM  acknowledge when the primary alone has committed
 *  ANYTERM    count a confirmation of an instance that follows another term
 *  NEWPRIMARY acknowledge a write of an older term when the new primary alone has it
 *  OLDFLOOR   keep the floor of the old term for such a write
 *  NOPROMISE  compare positions without a promise to refuse lower terms
 *  MINORITY   promote after one promise
 *  ANYMEMBER  promote any member that promised instead of the most advanced
 *  VOLATILE   a new control leader reuses the term, since its predecessor had not made it durable
 *  EARLYTERM  an instance lists a term before its log has reached the term's start
 *  OFFSETONLY a session compares offsets without terms
 */
#define INSTANCES 3
#define MAX_TERM 3
#define MAX_WRITES 3
#define NONE 9

typedef Log { byte size; byte id[MAX_WRITES]; bool has_term[4]; byte term_start[4] }

/* id: write + 1 of each record, by offset - 1; has_term, term_start: history of terms of this log */
Log lg[INSTANCES];
/* source: the primary that an instance follows */
byte promised_term[INSTANCES], followed_term[INSTANCES], source[INSTANCES];
bool is_primary[INSTANCES], down[INSTANCES];
/* position of each write; confirmations: bit set of the instances that confirmed it */
byte write_term[MAX_WRITES], write_offset[MAX_WRITES], confirmations[MAX_WRITES];
byte write_floor_term[MAX_WRITES]; /* term of the floor of the session that wrote */
bool acked[MAX_WRITES];
byte writes, crashes;
byte term;                         /* highest durable term in the control log */
bool fencing;
byte promises, ready;              /* bit sets of instances */
byte reported_term[INSTANCES], reported_size[INSTANCES]; /* position reported with each promise */
byte primary, primary_term;        /* primary promoted last, and its term */
byte primary_of_term[4];           /* primary of each term + 1, 0 for none; for I2 */

/* Whether the log of instance i has write w at the offset of the write. */
#define HAS_WRITE(i, w) (lg[i].size >= write_offset[w] && lg[i].id[write_offset[w] - 1] == (w) + 1)
#ifdef ANYTERM
#define TERM_MATCHES(i, w) true
#else
#define TERM_MATCHES(i, w) (followed_term[i] == write_term[w])
#endif
#ifdef NEWPRIMARY
#define ACK_QUORUM(s) ((s) & (1 << primary))
#else
#define ACK_QUORUM(s) MAJORITY(s)
#endif
#define MAJORITY(s) ((s) == 3 || (s) == 5 || (s) == 6 || (s) == 7)

inline last_term(i, out) {
  out = 0;
  if :: lg[i].has_term[1] -> out = 1 :: else fi;
  if :: lg[i].has_term[2] -> out = 2 :: else fi;
  if :: lg[i].has_term[3] -> out = 3 :: else fi
}

inline check_acknowledged() {
  k = 0;
  do
  :: k < writes ->
     if
     :: acked[k] && primary_term > write_term[k] -> assert(HAS_WRITE(primary, k)) /* I1 */
     :: else
     fi;
     k++
  :: else -> break
  od;
  k = 0
}

/* Copies from the history of p the terms whose start the log of i has reached. */
inline adopt_history(i, p) {
  k = 1;
  do
  :: k <= MAX_TERM ->
#ifdef EARLYTERM
     if
     :: lg[p].has_term[k] -> lg[i].has_term[k] = 1; lg[i].term_start[k] = lg[p].term_start[k]
     :: else -> lg[i].has_term[k] = 0
     fi;
#else
     if
     :: lg[p].has_term[k] && lg[p].term_start[k] <= lg[i].size ->
        lg[i].has_term[k] = 1; lg[i].term_start[k] = lg[p].term_start[k]
     :: else -> lg[i].has_term[k] = 0; lg[i].term_start[k] = 0
     fi;
#endif
     k++
  :: else -> break
  od;
  k = 0
}

/* Truncates the log of i to the records that it has in common with p. */
inline truncate_log(i, p) {
  k = 0;
  do
  :: k < lg[i].size && k < lg[p].size && lg[i].id[k] == lg[p].id[k] -> k++
  :: else -> break
  od;
  j = k;
  do
  :: j < MAX_WRITES -> lg[i].id[j] = 0; j++
  :: else -> break
  od;
  lg[i].size = k; j = 0; k = 0
}

/* Whether instance i covers the floor according to the position and history that it reports. */
inline covers(i, floor_term, floor_offset, out) {
  out = 0;
#ifdef OFFSETONLY
  if :: lg[i].size >= floor_offset -> out = 1 :: else fi;
#else
  last_term(i, y);
  if
  :: y == floor_term -> if :: lg[i].size >= floor_offset -> out = 1 :: else fi
  :: y > floor_term ->
     /* start of the first later term in the history of the instance */
     k = floor_term + 1;
     do
     :: k <= MAX_TERM && !lg[i].has_term[k] -> k++
     :: else -> break
     od;
     if
     :: k <= MAX_TERM ->
        if
        :: lg[i].size >= floor_offset || lg[i].size >= lg[i].term_start[k] -> out = 1
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

/* A session without a token uses the highest position on instances i and j as its floor and reads on any
   instance that covers it. */
inline read_without_token(i, j) {
  if
  :: !down[i] && !down[j] ->
     last_term(i, x); last_term(j, y);
     if
     :: x > y || (x == y && lg[i].size >= lg[j].size) -> floor_term = x; floor_offset = lg[i].size
     :: else -> floor_term = y; floor_offset = lg[j].size
     fi;
     x = 0; y = 0; p = 0;
     do
     :: p < INSTANCES ->
        covers(p, floor_term, floor_offset, ok);
        w = 0;
        do
        :: w < writes -> assert(!ok || !acked[w] || HAS_WRITE(p, w)); w++ /* I4 */
        :: else -> break
        od;
        p++
     :: else -> break
     od;
     p = 0; w = 0; ok = 0; floor_term = 0; floor_offset = 0
  :: else
  fi
}

active proctype system() {
  byte i, p, w, k, j, best, x, y, floor_term, floor_offset;
  bool ok;
  atomic {
    /* term 1: instance 0 is primary, the others follow it */
    term = 1; primary = 0; primary_term = 1; is_primary[0] = 1; primary_of_term[1] = 1;
    i = 0;
    do
    :: i < INSTANCES -> promised_term[i] = 1; followed_term[i] = 1; lg[i].has_term[1] = 1; i++
    :: else -> break
    od;
    i = 0
  }
end:
  do
  /* a write commits on an instance that acts as the primary of the term it follows, possibly superseded */
  :: atomic { writes < MAX_WRITES ->
       if :: i = 0 :: i = 1 :: i = 2 fi;
       if
       :: !down[i] && is_primary[i] && promised_term[i] <= followed_term[i] && lg[i].size < MAX_WRITES ->
          write_term[writes] = followed_term[i]; write_floor_term[writes] = followed_term[i];
          lg[i].id[lg[i].size] = writes + 1; lg[i].size++;
          write_offset[writes] = lg[i].size; confirmations[writes] = 1 << i; writes++
       :: else
       fi; i = 0 }
  /* a replica fetches the next record of the primary that it follows */
  :: atomic {
       if :: i = 0 :: i = 1 :: i = 2 fi;
       p = source[i];
       if
       :: !down[i] && !down[p] && !is_primary[i] && p != i && is_primary[p] &&
          followed_term[p] == followed_term[i] && promised_term[i] <= followed_term[i] &&
          lg[i].size < lg[p].size ->
          lg[i].id[lg[i].size] = lg[p].id[lg[i].size]; lg[i].size++;
          adopt_history(i, p)
       :: else
       fi; i = 0; p = 0 }
  /* a replica reports its position; the report may be used later */
  :: atomic { writes > 0 ->
       if :: i = 0 :: i = 1 :: i = 2 fi;
       w = 0;
       do
       :: w < writes ->
          if
          :: !down[i] && !is_primary[i] && lg[i].size >= write_offset[w] && TERM_MATCHES(i, w) ->
             confirmations[w] = confirmations[w] | (1 << i)
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
          if :: MAJORITY(confirmations[w]) -> acked[w] = 1 :: else fi;
#endif
          w++
       :: else -> break
       od; w = 0;
       check_acknowledged() }
  /* after a change of term the entry VM acknowledges a write that a majority in the newest term has */
  :: atomic { writes > 0 ->
       w = 0;
       do
       :: w < writes ->
          if
          :: write_term[w] < primary_term ->
             k = 0; x = 0;
             do
             :: k < INSTANCES ->
                if
                :: !down[k] && followed_term[k] == primary_term && lg[k].has_term[primary_term] &&
                   HAS_WRITE(k, w) ->
                   x = x | (1 << k)
                :: else
                fi; k++
             :: else -> break
             od;
             k = 0;
             if
             :: ACK_QUORUM(x) && !acked[w] ->
                acked[w] = 1;
#ifndef OLDFLOOR
                write_floor_term[w] = primary_term /* the floor of the session moves to the newest term */
#endif
             :: else
             fi;
             x = 0
          :: else
          fi; w++
       :: else -> break
       od; w = 0;
       check_acknowledged() }
  /* the former or the current control leader makes the next term durable */
  :: atomic { term < MAX_TERM -> term++; fencing = 1; promises = 0; ready = 0 }
#ifdef VOLATILE
  /* a new leader has not received the term in use and starts it again */
  :: atomic { term > 1 && !fencing -> fencing = 1; promises = 0; ready = 0 }
#endif
  /* a member replies to the fence call with a promise and its position */
  :: atomic { fencing ->
       if :: i = 0 :: i = 1 :: i = 2 fi;
       if
       :: !down[i] && promised_term[i] <= term && !(promises & (1 << i)) ->
#ifndef NOPROMISE
          promised_term[i] = term;
          if :: is_primary[i] && followed_term[i] < term -> is_primary[i] = 0 :: else fi;
#endif
          last_term(i, x); reported_term[i] = x; reported_size[i] = lg[i].size;
          promises = promises | (1 << i)
       :: else
       fi; i = 0; x = 0 }
  /* the coordinator promotes the most advanced of the members that promised */
#ifdef MINORITY
  :: atomic { fencing && promises != 0 ->
#else
  :: atomic { fencing && MAJORITY(promises) ->
#endif
       best = NONE; i = 0;
       do
       :: i < INSTANCES ->
          if
          :: promises & (1 << i) ->
#ifdef ANYMEMBER
             if :: best = i :: best == NONE -> best = i :: best != NONE fi
#else
             if
             :: best == NONE -> best = i
             :: best != NONE && (reported_term[i] > reported_term[best] ||
                (reported_term[i] == reported_term[best] && reported_size[i] > reported_size[best])) ->
                best = i
             :: else
             fi
#endif
          :: else
          fi; i++
       :: else -> break
       od; i = 0;
       if
       :: !down[best] && promised_term[best] <= term ->
          assert(primary_of_term[term] == 0 || primary_of_term[term] == best + 1); /* I2 */
          primary_of_term[term] = best + 1;
          promised_term[best] = term; followed_term[best] = term; is_primary[best] = 1; source[best] = best;
          lg[best].has_term[term] = 1; lg[best].term_start[term] = lg[best].size;
          primary = best; primary_term = term; fencing = 0;
          check_acknowledged()
       :: else
       fi; best = 0 }
  /* a member follows the primary of the term */
  :: atomic { !fencing ->
       if :: i = 0 :: i = 1 :: i = 2 fi;
       if
       :: i != primary && !down[i] && !down[primary] && promised_term[i] <= primary_term &&
          followed_term[i] < primary_term ->
          promised_term[i] = primary_term; followed_term[i] = primary_term;
          is_primary[i] = 0; source[i] = primary;
          truncate_log(i, primary);
          adopt_history(i, primary)
       :: else
       fi; i = 0 }
  /* one instance may stop permanently */
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
             covers(i, write_floor_term[w], write_offset[w], ok);
             assert(!ok || HAS_WRITE(i, w)) /* I3 */
          :: else
          fi; w++
       :: else -> break
       od; i = 0; w = 0; ok = 0 }
  :: atomic { writes > 0 -> read_without_token(0, 1); read_without_token(0, 2); read_without_token(1, 2) }
  od
}
