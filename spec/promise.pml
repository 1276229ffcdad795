/*
 * The promise of a voter to a leader, on which the leader's lease depends, and the events that end it early.
 *
 * Go package: internal/controllog (handleBallot, releasePromise, resign, challenge, New). Transitions
 * covered: a campaign with its votes, ballots that arrive late, heartbeats, a planned stop with its message,
 * a restart, the loss of a data folder, the return of that voter under a new identity, and the nonce that a
 * process at the leader's address returns. Time is modeled only by the order in which it ends things: a
 * leader stops counting an answer before the voter's promise ends.
 *
 * Bounds: 3 voters, 3 terms of which the first begins with a leader, 1 lost data folder. Logs are left out
 * (see controllog.pml).
 *
 * Invariant:
 *  I1 at most one leader has a lease.
 *
 * Switches that remove one safeguard each; every one must give a counterexample:
 *  FORGET      a restart ends the promise
 *  ANYTERM     a ballot of the leader for its own term ends the promise to it
 *  ANYRESIGN   a resign message of an earlier term, which its sender no longer leads, ends the promise
 *  NOECHO      any Hello from the leader's address under another identity ends the promise, without a nonce
 */
#define VMS 3
#define MAX_TERM 3
#define FOLLOWER 0
#define LEADER 1

/* An identity is the index of a VM, plus VMS after the data folder of that VM was lost, plus 1; 0 is none. */
#define VM_OF(i) (((i) - 1) % VMS)

byte id[VMS] = 0;
byte term[VMS], vote[VMS], term_leader[VMS]; /* durable; term_leader: leader of the term if known, else 0 */
bool role[VMS], member[VMS], promised[VMS];  /* promised: the promise to term_leader is in force */
byte lease_answers[8]; /* by identity of a leader: VMs whose answers still count for its lease */
byte candidate_terms[8], resigned_terms[8];  /* by identity: terms of its candidacies and resignations */
byte losses;

#define BIT(n) (1 << (n))
#define COUNT(s) (((s) & 1) + (((s) >> 1) & 1) + (((s) >> 2) & 1))
#define HOLDS_LEASE(n) (role[n] == LEADER && COUNT(lease_answers[id[n]] | BIT(n)) >= 2)
#define COUNTED_BY_ANY(m) \
  ((lease_answers[1] | lease_answers[2] | lease_answers[3] | \
    lease_answers[4] | lease_answers[5] | lease_answers[6]) & BIT(m))

#ifdef ANYTERM
#define BALLOT_ENDS_PROMISE(t, m) ((t) >= term[m])
#else
#define BALLOT_ENDS_PROMISE(t, m) ((t) > term[m])
#endif
#ifdef ANYRESIGN
#define RESIGN_ENDS_PROMISE(t, m) true
#else
#define RESIGN_ENDS_PROMISE(t, m) ((t) + 1 > term[m])
#endif

inline choose_vm(n) { if :: n = 0 :: n = 1 :: n = 2 fi }

inline resign(n) {
  role[n] = FOLLOWER;
  lease_answers[id[n]] = 0
}

inline enter_term(n, t) {
  if :: role[n] == LEADER -> resign(n) :: else fi;
  term[n] = t; vote[n] = 0; term_leader[n] = 0
}

inline check_single_lease() { assert(HOLDS_LEASE(0) + HOLDS_LEASE(1) + HOLDS_LEASE(2) <= 1) }

active proctype system() {
  byte n, m, i, t, s;
  d_step {
    id[0] = 1; id[1] = 2; id[2] = 3;
    member[0] = true; member[1] = true; member[2] = true;
    term[0] = 1; term[1] = 1; term[2] = 1;
    vote[0] = 1; term_leader[0] = 1; candidate_terms[1] = BIT(1); role[0] = LEADER
  }
end:
  do
  /* a campaign with the votes of any of the other members */
  :: atomic { choose_vm(n);
       if
       :: member[n] && role[n] == FOLLOWER && !promised[n] && term[n] < MAX_TERM ->
          enter_term(n, term[n] + 1); vote[n] = id[n];
          candidate_terms[id[n]] = candidate_terms[id[n]] | BIT(term[n]);
          s = BIT(n); m = 0;
          do
          :: m < VMS ->
             if
             :: m != n && member[m] && term[m] < term[n] && role[m] == FOLLOWER &&
                (!promised[m] || term_leader[m] == id[n]) ->
                if
                :: enter_term(m, term[n]); vote[m] = id[n]; promised[m] = false; s = s | BIT(m)
                :: true
                fi
             :: else
             fi; m++
          :: else -> break
          od;
          if
          :: COUNT(s) >= 2 -> role[n] = LEADER; term_leader[n] = id[n]; lease_answers[id[n]] = 0
          :: else
          fi;
          check_single_lease()
       :: else
       fi; n = 0; m = 0; s = 0 }
  /* a ballot arrives late */
  :: atomic { choose_vm(m); i = 1;
       do :: i < 6 -> i++ :: break od;
       t = 1;
       do :: t < MAX_TERM -> t++ :: break od;
       if
       :: (candidate_terms[i] & BIT(t)) && member[m] && term_leader[m] == i && id[m] != i &&
          BALLOT_ENDS_PROMISE(t, m) -> promised[m] = false
       :: else
       fi; m = 0; i = 0; t = 0 }
  /* a heartbeat with its answer */
  :: atomic { choose_vm(n); choose_vm(m);
       if
       :: role[n] == LEADER && m != n && member[m] && term[m] <= term[n] ->
          if :: term[m] < term[n] -> enter_term(m, term[n]) :: else fi;
          term_leader[m] = id[n]; promised[m] = true;
          lease_answers[id[n]] = lease_answers[id[n]] | BIT(m);
          check_single_lease()
       :: else
       fi; n = 0; m = 0 }
  /* time passes: an answer no longer counts, and later the promise ends */
  :: atomic { choose_vm(m); i = 1;
       do :: i < 6 -> i++ :: break od;
       lease_answers[i] = lease_answers[i] & ~BIT(m); m = 0; i = 0 }
  :: atomic { choose_vm(m); if :: promised[m] && !COUNTED_BY_ANY(m) -> promised[m] = false :: else fi; m = 0 }
  /* a leader steps down, with or without a resign message */
  :: atomic { choose_vm(n);
       if
       :: role[n] == LEADER -> resigned_terms[id[n]] = resigned_terms[id[n]] | BIT(term[n]); resign(n)
       :: role[n] == LEADER -> resign(n)
       :: else
       fi; n = 0 }
  :: atomic { choose_vm(m); i = 1;
       do :: i < 6 -> i++ :: break od;
       t = 1;
       do :: t < MAX_TERM -> t++ :: break od;
       if
       :: (resigned_terms[i] & BIT(t)) && member[m] && term_leader[m] == i && id[m] != i &&
          RESIGN_ENDS_PROMISE(t, m) -> promised[m] = false
       :: else
       fi; m = 0; i = 0; t = 0 }
  /* a restart */
  :: atomic { choose_vm(n);
       if
       :: member[n] ->
          resign(n);
          promised[n] = !(term_leader[n] == id[n] || (term_leader[n] == 0 && vote[n] == id[n]));
#ifdef FORGET
          promised[n] = false
#endif
       :: else
       fi; n = 0 }
  /* a data folder is lost; the voter is later admitted under a new identity */
  :: atomic { choose_vm(n);
       if
       :: member[n] && losses < 1 ->
          losses++;
          resign(n);
          id[n] = id[n] + VMS; member[n] = false; promised[n] = false;
          term[n] = 0; vote[n] = 0; term_leader[n] = 0
       :: else
       fi; n = 0 }
  :: atomic { choose_vm(n); choose_vm(m);
       if
       :: HOLDS_LEASE(n) && !member[m] ->
          member[m] = true; term[m] = term[n]; vote[m] = id[n]; term_leader[m] = id[n]; promised[m] = true
       :: else
       fi; n = 0; m = 0 }
  /* a process with another identity runs at the leader's address */
  :: atomic { choose_vm(m);
       if
       :: member[m] && term_leader[m] != 0 && term_leader[m] != id[m] &&
          id[VM_OF(term_leader[m])] != term_leader[m] -> promised[m] = false
#ifdef NOECHO
       /* a delayed Hello from the former identity of the leader's VM */
       :: member[m] && term_leader[m] > VMS && term_leader[m] != id[m] -> promised[m] = false
#endif
       :: else
       fi; m = 0 }
  od
}
