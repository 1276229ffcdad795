/*
 * Configuration changes and the lease under which entry VMs serve; key withdrawal is such a change.
 *
 * Go packages: internal/contract (compare-and-set, change ids), internal/entryvm (lease), internal/controlvm
 * (Renew under the leader's own lease). Transitions covered: a change proposed by two operators, its
 * resend after a lost answer, commit, change of the leader, renewal, late and lost replies, serving.
 *
 * Bounds: 2 leaders in turn, 1 entry VM (entry VMs do not interact), 2 changes from equal versions with one resend each, 6 ticks.
 * The leader's lease and the lease of an entry VM are 2 ticks, the latter from the send time of its request.
 * A leader of a lower term may be frozen and go on as if no time had passed until it looks at its clock.
 *
 * Invariants:
 *  I1 later than 2 ticks after a change was accepted no entry VM serves with an older version;
 *  I2 the version that an entry VM serves with never falls;
 *  I3 of two changes with equal base versions one is accepted; a resend gets the first answer and
 *     does not run again.
 *
 * Switches that remove one safeguard each; every one must give a counterexample:
 *  FROMREPLY   the lease counts from the arrival of the reply
 *  STALE       a leader answers without looking at its own lease
 *  EARLY       a new leader commits before the former one's lease has ended
 *  UNAPPLIED   an entry VM takes the lease without the version that it names
 *  REVERT      an entry VM takes whatever version a late reply names
 *  NOBASE      changes are accepted without comparing versions
 *  NOID        a resent change is treated as a new one
 */
#define T 6
#define LEASE 2
#define TERM 2    /* lease of a leader */
#define E 1

byte now;
byte version;          /* committed */
byte accepted[4];      /* time at which a version was accepted */
byte leader;           /* current leader: 0 or 1 */
byte ends[2];          /* end of each leader's own lease */
byte view[2];          /* version that each leader knows of */
bool ready[2];
byte applied[E], until[E], served[E];
bool flying[E]; byte rversion[E], rsent[E];   /* reply under way */
bool asked[E]; byte sent[E], target[E];       /* request under way */
byte times[2];         /* how often each operator's change ran */
byte answer[2];        /* recorded outcome: 0 none, 1 accepted, 2 conflict */
byte sends[2];

#ifdef STALE
#define VALID(l) true
#else
#define VALID(l) (now < ends[l])
#endif

#ifdef EARLY
#define FREE true
#else
#define FREE (now >= ends[0])
#endif
#ifdef NOID
#define KNOWN false
#else
#define KNOWN true
#endif
#ifdef NOBASE
#define NOCHECK true
#else
#define NOCHECK false
#endif
#ifdef REVERT
#define BACK true
#else
#define BACK false
#endif
#ifdef UNAPPLIED
#define LOOSE true
#else
#define LOOSE false
#endif

active proctype system() {
  byte e, l, o;
  atomic { version = 1; view[0] = 1; ends[0] = TERM; ready[0] = 1; applied[0] = 1 }
end:
  do
  :: atomic { now < T -> now++ }
  /* the current leader renews its own lease with a majority */
  :: atomic { ready[leader] -> ends[leader] = now + TERM }
  /* another leader is elected; it waits for the end of the former lease */
  :: atomic { leader == 0 -> leader = 1; view[1] = version }
  :: atomic { leader == 1 && !ready[1] && FREE ->
       ready[1] = 1; ends[1] = now + TERM }
  /* an operator sends its change, based on version 1, or sends it again */
  :: atomic { ready[leader] ->
       if :: o = 0 :: o = 1 fi;
       if
       :: sends[o] < 2 ->
          sends[o]++;
          if
          :: answer[o] != 0 && KNOWN -> skip /* the first answer, not run again */
          :: else ->
             if
             :: version == 1 || NOCHECK ->
                version++; view[leader] = version; accepted[version] = now;
                times[o]++; answer[o] = 1
             :: else ->
                assert(answer[o] != 1);
                answer[o] = 2
             fi
          fi;
          assert(times[o] <= 1);                      /* I3 */
          assert(!(times[0] > 0 && times[1] > 0))     /* I3 */
       :: else
       fi; o = 0 }
  /* an entry VM asks a leader, old or new */
  :: atomic {
       e = 0;
       if :: l = 0 :: l = 1 fi;
       if
       :: !asked[e] && !flying[e] -> asked[e] = 1; sent[e] = now; target[e] = l
       :: else
       fi; e = 0; l = 0 }
  /* the leader answers */
  :: atomic {
       e = 0;
       l = target[e];
       if
       :: asked[e] && ready[l] && VALID(l) ->
          asked[e] = 0; flying[e] = 1; rversion[e] = view[l]; rsent[e] = sent[e];
          sent[e] = 0; target[e] = 0
       :: asked[e] -> asked[e] = 0; sent[e] = 0; target[e] = 0
       :: else
       fi; e = 0; l = 0 }
  /* the reply arrives; the version that it names was pulled before or is not there yet */
  :: atomic {
       e = 0;
       if
       :: flying[e] ->
          if
          :: applied[e] < rversion[e] -> applied[e] = rversion[e]
          :: applied[e] < rversion[e] -> skip
          :: applied[e] >= rversion[e] || BACK -> if :: BACK -> applied[e] = rversion[e] :: else fi
          fi;
          if
          :: applied[e] >= rversion[e] || LOOSE ->
#ifdef FROMREPLY
             until[e] = now + LEASE
#else
             until[e] = rsent[e] + LEASE
#endif
          :: else
          fi;
          flying[e] = 0; rversion[e] = 0; rsent[e] = 0
       :: else
       fi; e = 0 }
  /* the stream of a leader, old or new, brings a version */
  :: atomic {
       if :: l = 0 :: l = 1 fi;
       if :: applied[0] < view[l] -> applied[0] = view[l] :: else fi; l = 0 }
  /* messages are lost */
  :: atomic { flying[0] -> flying[0] = 0; rversion[0] = 0; rsent[0] = 0 }
  /* an entry VM serves a statement */
  :: atomic {
       e = 0;
       if
       :: now < until[e] ->
          assert(applied[e] >= served[e]);                                            /* I2 */
          served[e] = applied[e];
          assert(applied[e] == version || now < accepted[applied[e] + 1] + LEASE)     /* I1 */
       :: else
       fi; e = 0 }
  od
}
