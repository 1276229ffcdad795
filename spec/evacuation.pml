/*
 * Orders of an operator to evacuate an availability zone and to take it back.
 *
 * Go packages: internal/controlstate (evacuate, Snapshot, enlist), internal/controlvm and internal/gateway (Evacuate),
 * platform (submitEvacuation). Transitions covered: orders, resends by the operator after a lost answer, retries by the
 * VM that received the call, late copies of both, append, commit, loss of the leader with an entry that is not committed,
 * restart of all control VMs from a snapshot, announcement of an instance in the zone. The control log itself is that of
 * controllog.pml, so a committed entry is not lost and entries are applied in order.
 *
 * Bounds: 1 zone (zones do not interact), 3 orders (evacuation, withdrawal, evacuation), each sent in at most 2 calls by
 * the operator, with at most 2 copies of each call. The operator gives an order after the acknowledgement of the one before.
 *
 * Assumption: a copy of a call that has ended for the operator is not proposed unless an earlier copy was committed. Ids do
 * not protect from the first copy of an ended call, since the call was resent under another id. The receiving VM checks
 * this after a round trip to the leader, and the leader checks it before it proposes the entry.
 *
 * Invariants:
 *  I1 from the acknowledgement of an order to the next order the zone is in the state that was ordered;
 *  I2 an instance of the zone is marked exactly while the zone is evacuated.
 *
 * Switches that remove one safeguard each; every one must give a counterexample:
 *  NOID        a retried order is treated as a new one
 *  FORGET      a snapshot does not contain the ids of orders
 *  EARLY       an order is acknowledged before its entry is committed
 *  ENDED       a copy of a call that has ended is proposed
 *  UNMARKED    an announcement sets the mark of its instance
 */
#define ORDERS 3
#define CALLS 6 /* call 2*n and 2*n+1 are for order n */

#define WITHDRAWN(c) ((c / 2) % 2)
#define CURRENT(c) (waiting && c == call)

#ifdef NOID
#define IS_REPEATED(c) false
#else
#define IS_REPEATED(c) ((ids >> c) & 1)
#endif
#ifdef ENDED
#define MAY_PROPOSE(c) true
#else
#define MAY_PROPOSE(c) (CURRENT(c) || ((committed >> c) & 1))
#endif
#ifdef EARLY
#define ACKNOWLEDGED(c) ((appended >> c) & 1)
#else
#define ACKNOWLEDGED(c) ((committed >> c) & 1)
#endif

byte orders;       /* orders given so far */
bool waiting;      /* the operator waits for the acknowledgement of the latest order */
byte call;         /* its current call */
byte sent[CALLS];  /* copies sent of each call */
byte transit[CALLS];
byte entry;        /* call whose entry is appended and not committed, plus 1; 0 for none */
byte appended;     /* calls of which an entry was appended, one bit each */
byte committed;    /* calls of which an entry was committed */
byte ids;          /* calls whose id the control state remembers */
bool evacuated;    /* the zone in the control state */
bool marked;       /* the instance of the zone */

active proctype system() {
  byte c;
end:
  do
  /* the operator gives an order */
  :: atomic { !waiting && orders < ORDERS ->
       call = 2 * orders; orders++; waiting = 1; sent[call] = 1; transit[call] = 1 }
  /* the operator resends it to another VM */
  :: atomic { waiting && call % 2 == 0 -> call++; sent[call] = 1; transit[call] = 1 }
  /* the VM retries the call */
  :: atomic { waiting && sent[call] < 2 -> sent[call]++; transit[call]++ }
  /* a copy arrives at the leader, which appends an entry, or it is refused or lost */
  :: atomic {
       c = 0; do :: c < CALLS - 1 -> c++ :: break od;
       if
       :: transit[c] > 0 && entry == 0 && MAY_PROPOSE(c) -> transit[c]--; entry = c + 1; appended = appended | (1 << c)
       :: transit[c] > 0 -> transit[c]--
       :: else
       fi; c = 0 }
  /* the entry is committed and applied */
  :: atomic { entry > 0 ->
       c = entry - 1; entry = 0; committed = committed | (1 << c);
       if
       :: IS_REPEATED(c)
       :: else -> evacuated = !WITHDRAWN(c); marked = evacuated; ids = ids | (1 << c)
       fi; c = 0 }
  /* the leader is lost, and the next one does not have the entry */
  :: atomic { entry > 0 -> entry = 0 }
  /* all control VMs restart from a snapshot */
  :: atomic { entry == 0 ->
#ifdef FORGET
       ids = 0
#else
       skip
#endif
     }
  /* the instance announces itself, or another one replaces it */
  :: atomic {
#ifdef UNMARKED
       marked = 0
#else
       marked = evacuated
#endif
     }
  /* the answer reaches the operator */
  :: atomic { waiting && ACKNOWLEDGED(call) -> waiting = 0 }
  :: atomic { !waiting && orders > 0 -> assert(evacuated == !WITHDRAWN(call)) } /* I1 */
  :: atomic { marked != evacuated -> assert(false) }                            /* I2 */
  od
}
