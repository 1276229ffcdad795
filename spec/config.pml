/*
 * Configuration changes and the leases under which entry VMs serve. The withdrawal of a key is such a change.
 *
 * Go packages: internal/controlstate (compare-and-set, change ids), internal/entryvm (lease),
 * internal/controlvm (Renew under the leader's own lease). Transitions covered: changes proposed by two
 * operators, the retry of a change whose reply was lost, commit, change of the leader, lease renewal, late
 * and lost replies, serving.
 *
 * Bounds: 2 successive leaders, 1 entry VM (entry VMs do not interact), 2 changes with equal base versions
 * and one retry each, 6 ticks. The lease of a leader and that of an entry VM last 2 ticks; the latter counts
 * from the send time of its request. The leader of a lower term may be paused and then continue as if no
 * time had passed, until it reads its clock.
 *
 * Invariants:
 *  I1 later than 2 ticks after a change was accepted no entry VM serves with an older version;
 *  I2 the version that an entry VM serves with never decreases;
 *  I3 of two changes with equal base versions at most one is accepted; a retry returns the first outcome
 *     and is not executed again.
 *
 * Switches that remove one safeguard each; every one must give a counterexample:
 *  FROMREPLY   the lease counts from the arrival of the reply
 *  STALE       a leader replies without checking its own lease
 *  EARLY       a new leader commits before the lease of its predecessor has ended
 *  UNAPPLIED   an entry VM accepts the lease without having applied the version that the reply names
 *  REVERT      an entry VM applies the version that a late reply names even if it is older
 *  NOBASE      changes are accepted without comparing versions
 *  NOID        a retried change is treated as a new one
 */
#define MAX_TIME 6
#define ENTRY_LEASE 2   /* lease of an entry VM */
#define LEADER_LEASE 2  /* lease of a leader */
#define ENTRY_VMS 1

byte now;
byte committed_version;
byte accepted_at[4];      /* time at which each version was accepted */
byte leader;              /* current leader: 0 or 1 */
byte leader_lease_end[2];
byte leader_version[2];   /* latest version known to each leader */
bool ready[2];            /* the leader has obtained its own lease and may commit */
byte applied_version[ENTRY_VMS], entry_lease_end[ENTRY_VMS], served_version[ENTRY_VMS];
bool reply_in_flight[ENTRY_VMS]; byte reply_version[ENTRY_VMS], reply_request_sent_at[ENTRY_VMS];
bool request_in_flight[ENTRY_VMS]; byte request_sent_at[ENTRY_VMS], request_target[ENTRY_VMS];
byte executions[2];       /* how often the change of each operator was executed */
byte outcome[2];          /* recorded outcome: 0 none, 1 accepted, 2 conflict */
byte attempts[2];         /* how often each operator sent its change */

#ifdef STALE
#define LEADER_LEASE_VALID(l) true
#else
#define LEADER_LEASE_VALID(l) (now < leader_lease_end[l])
#endif

#ifdef EARLY
#define FORMER_LEASE_ENDED true
#else
#define FORMER_LEASE_ENDED (now >= leader_lease_end[0])
#endif
#ifdef NOID
#define DEDUPLICATE false
#else
#define DEDUPLICATE true
#endif
#ifdef NOBASE
#define SKIP_VERSION_CHECK true
#else
#define SKIP_VERSION_CHECK false
#endif
#ifdef REVERT
#define ALLOW_DOWNGRADE true
#else
#define ALLOW_DOWNGRADE false
#endif
#ifdef UNAPPLIED
#define ALLOW_UNAPPLIED true
#else
#define ALLOW_UNAPPLIED false
#endif

active proctype system() {
  byte e, l, o; /* entry VM, leader, operator */
  atomic {
    committed_version = 1; leader_version[0] = 1; leader_lease_end[0] = LEADER_LEASE; ready[0] = 1;
    applied_version[0] = 1
  }
end:
  do
  :: atomic { now < MAX_TIME -> now++ }
  /* the current leader renews its own lease with a majority */
  :: atomic { ready[leader] -> leader_lease_end[leader] = now + LEADER_LEASE }
  /* another leader is elected; it waits until the lease of its predecessor has ended */
  :: atomic { leader == 0 -> leader = 1; leader_version[1] = committed_version }
  :: atomic { leader == 1 && !ready[1] && FORMER_LEASE_ENDED ->
       ready[1] = 1; leader_lease_end[1] = now + LEADER_LEASE }
  /* an operator sends its change, based on version 1, or retries it */
  :: atomic { ready[leader] ->
       if :: o = 0 :: o = 1 fi;
       if
       :: attempts[o] < 2 ->
          attempts[o]++;
          if
          :: outcome[o] != 0 && DEDUPLICATE -> skip /* returns the recorded outcome, no execution */
          :: else ->
             if
             :: committed_version == 1 || SKIP_VERSION_CHECK ->
                committed_version++; leader_version[leader] = committed_version;
                accepted_at[committed_version] = now;
                executions[o]++; outcome[o] = 1
             :: else ->
                assert(outcome[o] != 1);
                outcome[o] = 2
             fi
          fi;
          assert(executions[o] <= 1);                             /* I3 */
          assert(!(executions[0] > 0 && executions[1] > 0))       /* I3 */
       :: else
       fi; o = 0 }
  /* an entry VM sends a renewal request to the former or the current leader */
  :: atomic {
       e = 0;
       if :: l = 0 :: l = 1 fi;
       if
       :: !request_in_flight[e] && !reply_in_flight[e] ->
          request_in_flight[e] = 1; request_sent_at[e] = now; request_target[e] = l
       :: else
       fi; e = 0; l = 0 }
  /* the leader replies, or the request is lost or refused */
  :: atomic {
       e = 0;
       l = request_target[e];
       if
       :: request_in_flight[e] && ready[l] && LEADER_LEASE_VALID(l) ->
          request_in_flight[e] = 0; reply_in_flight[e] = 1;
          reply_version[e] = leader_version[l]; reply_request_sent_at[e] = request_sent_at[e];
          request_sent_at[e] = 0; request_target[e] = 0
       :: request_in_flight[e] -> request_in_flight[e] = 0; request_sent_at[e] = 0; request_target[e] = 0
       :: else
       fi; e = 0; l = 0 }
  /* the reply arrives; the entry VM may or may not have fetched the version that it names */
  :: atomic {
       e = 0;
       if
       :: reply_in_flight[e] ->
          if
          :: applied_version[e] < reply_version[e] -> applied_version[e] = reply_version[e]
          :: applied_version[e] < reply_version[e] -> skip
          :: applied_version[e] >= reply_version[e] || ALLOW_DOWNGRADE ->
             if :: ALLOW_DOWNGRADE -> applied_version[e] = reply_version[e] :: else fi
          fi;
          if
          :: applied_version[e] >= reply_version[e] || ALLOW_UNAPPLIED ->
#ifdef FROMREPLY
             entry_lease_end[e] = now + ENTRY_LEASE
#else
             entry_lease_end[e] = reply_request_sent_at[e] + ENTRY_LEASE
#endif
          :: else
          fi;
          reply_in_flight[e] = 0; reply_version[e] = 0; reply_request_sent_at[e] = 0
       :: else
       fi; e = 0 }
  /* the update stream of the former or the current leader delivers a version */
  :: atomic {
       if :: l = 0 :: l = 1 fi;
       if :: applied_version[0] < leader_version[l] -> applied_version[0] = leader_version[l] :: else fi;
       l = 0 }
  /* a reply is lost */
  :: atomic { reply_in_flight[0] ->
       reply_in_flight[0] = 0; reply_version[0] = 0; reply_request_sent_at[0] = 0 }
  /* an entry VM serves a statement */
  :: atomic {
       e = 0;
       if
       :: now < entry_lease_end[e] ->
          assert(applied_version[e] >= served_version[e]);                        /* I2 */
          served_version[e] = applied_version[e];
          assert(applied_version[e] == committed_version ||
                 now < accepted_at[applied_version[e] + 1] + ENTRY_LEASE)         /* I1 */
       :: else
       fi; e = 0 }
  od
}
