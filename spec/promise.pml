/*
 * The promise of a voter to a leader, on which the leader's lease rests, and what ends it early.
 *
 * Go package: internal/controllog (ballot, release, resign, challenge, New). Transitions covered: a
 * campaign with its votes, ballots that arrive late, heartbeats, a planned stop with its message, a
 * restart, the loss of a data folder, the return of that voter under a new identity, and the number that
 * a process at the leader's address returns. Time is covered by the order in which it ends things: a
 * leader stops counting an answer before the voter's promise ends.
 *
 * Bounds: 3 voters, 3 terms of which the first begins with a leader, 1 lost data folder. Logs are left out
 * (see controllog.pml).
 *
 * Invariant:
 *  I1 at most one leader holds a lease.
 *
 * Switches that remove one safeguard each; every one must give a counterexample:
 *  FORGET      a restart ends the promise
 *  ANYTERM     a ballot of the leader for its own term ends the promise to it
 *  ANYRESIGN   a message of an earlier term that its sender leads no more ends the promise
 *  NOECHO      any introduction from the leader's address under another identity ends the promise
 */
#define N 3
#define T 3
#define FOLLOWER 0
#define LEADER 1

/* An identity is a place, plus N after the data folder there was lost, plus 1; 0 stands for none. */
#define PLACE(i) (((i) - 1) % N)

byte id[N] = 0;
byte term[N], vote[N], led[N]; /* durable: led is the leader of the term as heard */
bool role[N], member[N], bound[N];
byte counted[8];               /* by identity of a leader: places whose answers still count for its lease */
byte ballots[8], resigned[8];  /* by identity: terms stood for, and terms resigned from */
byte losses;

#define BIT(n) (1 << (n))
#define COUNT(s) (((s) & 1) + (((s) >> 1) & 1) + (((s) >> 2) & 1))
#define HOLDS(n) (role[n] == LEADER && COUNT(counted[id[n]] | BIT(n)) >= 2)
#define COUNTED(m) ((counted[1] | counted[2] | counted[3] | counted[4] | counted[5] | counted[6]) & BIT(m))

#ifdef ANYTERM
#define LATER(t, m) ((t) >= term[m])
#else
#define LATER(t, m) ((t) > term[m])
#endif
#ifdef ANYRESIGN
#define RESIGNED(t, m) true
#else
#define RESIGNED(t, m) ((t) + 1 > term[m])
#endif

inline pick(n) { if :: n = 0 :: n = 1 :: n = 2 fi }

inline resign(n) {
  role[n] = FOLLOWER;
  counted[id[n]] = 0
}

inline enter(n, t) {
  if :: role[n] == LEADER -> resign(n) :: else fi;
  term[n] = t; vote[n] = 0; led[n] = 0
}

inline check() { assert(HOLDS(0) + HOLDS(1) + HOLDS(2) <= 1) }

active proctype system() {
  byte n, m, i, t, s;
  d_step {
    id[0] = 1; id[1] = 2; id[2] = 3;
    member[0] = true; member[1] = true; member[2] = true;
    term[0] = 1; term[1] = 1; term[2] = 1;
    vote[0] = 1; led[0] = 1; ballots[1] = BIT(1); role[0] = LEADER
  }
end:
  do
  /* a campaign with the votes of some */
  :: atomic { pick(n);
       if
       :: member[n] && role[n] == FOLLOWER && !bound[n] && term[n] < T ->
          enter(n, term[n] + 1); vote[n] = id[n];
          ballots[id[n]] = ballots[id[n]] | BIT(term[n]);
          s = BIT(n); m = 0;
          do
          :: m < N ->
             if
             :: m != n && member[m] && term[m] < term[n] && role[m] == FOLLOWER && (!bound[m] || led[m] == id[n]) ->
                if
                :: enter(m, term[n]); vote[m] = id[n]; bound[m] = false; s = s | BIT(m)
                :: true
                fi
             :: else
             fi; m++
          :: else -> break
          od;
          if :: COUNT(s) >= 2 -> role[n] = LEADER; led[n] = id[n]; counted[id[n]] = 0 :: else fi;
          check()
       :: else
       fi; n = 0; m = 0; s = 0 }
  /* a ballot arrives late */
  :: atomic { pick(m); i = 1;
       do :: i < 6 -> i++ :: break od;
       t = 1;
       do :: t < T -> t++ :: break od;
       if
       :: (ballots[i] & BIT(t)) && member[m] && led[m] == i && id[m] != i && LATER(t, m) -> bound[m] = false
       :: else
       fi; m = 0; i = 0; t = 0 }
  /* a heartbeat with its answer */
  :: atomic { pick(n); pick(m);
       if
       :: role[n] == LEADER && m != n && member[m] && term[m] <= term[n] ->
          if :: term[m] < term[n] -> enter(m, term[n]) :: else fi;
          led[m] = id[n]; bound[m] = true;
          counted[id[n]] = counted[id[n]] | BIT(m);
          check()
       :: else
       fi; n = 0; m = 0 }
  /* time: an answer counts no more, and later the promise ends */
  :: atomic { pick(m); i = 1;
       do :: i < 6 -> i++ :: break od;
       counted[i] = counted[i] & ~BIT(m); m = 0; i = 0 }
  :: atomic { pick(m); if :: bound[m] && !COUNTED(m) -> bound[m] = false :: else fi; m = 0 }
  /* a leader steps down, in a planned way or not */
  :: atomic { pick(n);
       if
       :: role[n] == LEADER -> resigned[id[n]] = resigned[id[n]] | BIT(term[n]); resign(n)
       :: role[n] == LEADER -> resign(n)
       :: else
       fi; n = 0 }
  :: atomic { pick(m); i = 1;
       do :: i < 6 -> i++ :: break od;
       t = 1;
       do :: t < T -> t++ :: break od;
       if
       :: (resigned[i] & BIT(t)) && member[m] && led[m] == i && id[m] != i && RESIGNED(t, m) -> bound[m] = false
       :: else
       fi; m = 0; i = 0; t = 0 }
  /* a restart */
  :: atomic { pick(n);
       if
       :: member[n] ->
          resign(n);
          bound[n] = !(led[n] == id[n] || (led[n] == 0 && vote[n] == id[n]));
#ifdef FORGET
          bound[n] = false
#endif
       :: else
       fi; n = 0 }
  /* a data folder is lost, and the voter replaced by its successor */
  :: atomic { pick(n);
       if
       :: member[n] && losses < 1 ->
          losses++;
          resign(n);
          id[n] = id[n] + N; member[n] = false; bound[n] = false;
          term[n] = 0; vote[n] = 0; led[n] = 0
       :: else
       fi; n = 0 }
  :: atomic { pick(n); pick(m);
       if
       :: HOLDS(n) && !member[m] ->
          member[m] = true; term[m] = term[n]; vote[m] = id[n]; led[m] = id[n]; bound[m] = true
       :: else
       fi; n = 0; m = 0 }
  /* a process with another identity lives at the leader's address */
  :: atomic { pick(m);
       if
       :: member[m] && led[m] != 0 && led[m] != id[m] && id[PLACE(led[m])] != led[m] -> bound[m] = false
#ifdef NOECHO
       :: member[m] && led[m] > N && led[m] != id[m] -> bound[m] = false /* it came from the identity before */
#endif
       :: else
       fi; m = 0 }
  od
}
