/*
 * Rate credits leased by an issuer to entry VMs, across a change of the issuer.
 *
 * Go package: internal/lease (Issuer, Holder); internal/controlvm moves the messages.
 * Transitions covered: request with report and return, grant, late or lost reply, duplicated request,
 * spending, expiry at both sides, refill, change of the issuer, first reports to the new issuer.
 *
 * Bounds: 2 holders, 2 issuers, burst 2, 1 credit a tick, expiry 2 ticks, 3 ticks, 3 requests of each holder and 5 in all. Requests and replies
 * may be lost or arrive late; a request may arrive twice. Clock drift is left to the tests of the package.
 *
 * Invariant: an ideal bucket of the same rate and burst, charged at the moment of spending, is never
 * overdrawn; so every window admits at most burst + rate x length.
 *
 * Switches that remove one safeguard each; every one must give a counterexample:
 *  NOEXPIRY    the holder spends credits after their expiry
 *  NOUNKNOWN   a new issuer ignores holders that have not reported to it
 *  NAMELESS    a new issuer trusts a report sent before its time
 *  LATEREPLY   the holder accepts the reply to a request that it has superseded
 *  TWICE       the issuer processes a repeated request again
 *  OLDISSUER   the old issuer grants on after its lease
 *  FULLSTART   a new issuer starts with a full bucket
 */
#define H 2
#define B 2
#define D 2
#define T 3
#define SHARE 1   /* most that one holder may hold: half of the burst */

#ifdef TWICE
#define REPEAT(e, h) true
#else
#define REPEAT(e, h) (rq[h].at[e].seq > is[e].seen[h])
#endif
#ifdef NAMELESS
#define TRUSTED(h, e) true
#else
#define TRUSTED(h, e) (rq[h].at[e].named == e + 1)
#endif
#ifdef NOEXPIRY
#define NEVER true
#else
#define NEVER false
#endif

byte now, shadow = B;
byte issuer;                 /* current issuer */
byte since;                  /* when the second issuer began */
bool ended[2];               /* an issuer that no longer grants */

typedef Issuer { byte level; byte out[H]; byte until[H]; bool unknown[H]; byte seen[H] }
Issuer is[2];

typedef Request { bool present; byte seq; byte held; byte back; byte sent; byte named }
typedef Slot { Request at[2] }
Slot rq[H];                  /* one request in flight for each issuer */

typedef Reply { bool present; byte amount; byte until; byte from }
Reply rp[H];

byte held[H], expiry[H], seq[H], knows[H]; /* knows: issuer + 1 that last answered */

inline room(e, left) {
  left = B;
  k = 0;
  do
  :: k < H ->
     left = (left > is[e].out[k] -> left - is[e].out[k] : 0);
     if :: is[e].unknown[k] -> left = (left > SHARE -> left - SHARE : 0) :: else fi;
     k++
  :: else -> break
  od;
  k = 0
}

/* Drops grants whose holders can no longer spend, then caps the level. */
inline settle(e) {
  k = 0;
  do
  :: k < H ->
     if :: is[e].out[k] > 0 && now >= is[e].until[k] -> is[e].out[k] = 0; is[e].until[k] = 0 :: else fi;
     if :: is[e].unknown[k] && now >= since + D -> is[e].unknown[k] = 0 :: else fi;
     k++
  :: else -> break
  od;
  k = 0
}

/* An empty slot holds zeros, so that equal states compare equal. */
inline clear_request(h, e) {
  rq[h].at[e].present = 0; rq[h].at[e].seq = 0; rq[h].at[e].held = 0;
  rq[h].at[e].back = 0; rq[h].at[e].sent = 0; rq[h].at[e].named = 0
}

inline clear_reply(h) {
  rp[h].present = 0; rp[h].amount = 0; rp[h].until = 0; rp[h].from = 0
}

active proctype system() {
  byte h, e, k, r, a;
  atomic { is[0].level = B }
end:
  do
  :: atomic { now < T -> now++;
       shadow = (shadow < B -> shadow + 1 : B);
       e = issuer; settle(e);
       room(e, r);
       is[e].level = (is[e].level < r -> is[e].level + 1 : r);
       e = 0; r = 0;
       /* expired credits are worth nothing */
#ifndef NOEXPIRY
       if :: held[0] > 0 && now >= expiry[0] -> held[0] = 0; expiry[0] = 0 :: else fi;
       if :: held[1] > 0 && now >= expiry[1] -> held[1] = 0; expiry[1] = 0 :: else fi;
#endif
     }
  /* a holder spends */
  :: atomic {
       if :: h = 0 :: h = 1 fi;
       if
       :: held[h] > 0 -> assert(shadow > 0); shadow--; held[h]--;
          if :: held[h] == 0 -> expiry[h] = 0 :: else fi
       :: else
       fi; h = 0 }
  /* a holder asks an issuer, reporting what it holds; it may hand back what it holds */
  :: atomic {
       if :: h = 0 :: h = 1 fi;
       if :: e = 0 :: e = 1 fi;
       if
       :: seq[h] < 3 && seq[0] + seq[1] < 5 && !ended[e] ->
          seq[h]++;
          rq[h].at[e].present = 1; rq[h].at[e].seq = seq[h]; rq[h].at[e].sent = now;
          rq[h].at[e].named = knows[h];
          if
          :: held[h] > 0 -> rq[h].at[e].back = held[h]; held[h] = 0; expiry[h] = 0
          :: rq[h].at[e].back = 0
          fi;
          rq[h].at[e].held = held[h]
#ifndef LATEREPLY
          ; clear_reply(h)
#endif
       :: else
       fi; h = 0; e = 0 }
  /* an issuer answers a request */
  :: atomic {
       if :: h = 0 :: h = 1 fi;
       if :: e = 0 :: e = 1 fi;
       if
       :: rq[h].at[e].present && (e == issuer || (e < issuer && !ended[e])) &&
          REPEAT(e, h) ->
          settle(e);
          is[e].seen[h] = rq[h].at[e].seq;
          if
          :: is[e].unknown[h] && !TRUSTED(h, e) -> skip
          :: else ->
             is[e].unknown[h] = 0;
             /* credits handed back return to the bucket if they still count as outstanding */
             a = rq[h].at[e].back;
             k = (is[e].out[h] > rq[h].at[e].held -> is[e].out[h] - rq[h].at[e].held : 0);
             a = (a < k -> a : k); k = 0;
             is[e].out[h] = rq[h].at[e].held;
             if :: is[e].out[h] > 0 && is[e].until[h] < now + D -> is[e].until[h] = now + D :: else fi;
             room(e, r);
             is[e].level = (is[e].level + a < r -> is[e].level + a : r);
             /* grant up to the holder's share */
             a = (is[e].level < SHARE - is[e].out[h] -> is[e].level : SHARE - is[e].out[h])
          fi;
          if
          :: is[e].unknown[h] -> a = 0
          :: else -> is[e].level = is[e].level - a;
             is[e].out[h] = is[e].out[h] + a;
             if :: a > 0 -> is[e].until[h] = now + D :: else fi
          fi;
          rp[h].present = 1; rp[h].amount = a;
          rp[h].until = rq[h].at[e].sent + D; rp[h].from = e + 1;
          /* the network may keep a copy of the request */
          if
          :: clear_request(h, e)
          :: true
          fi
       :: else
       fi; h = 0; e = 0; a = 0; r = 0 }
  /* a reply arrives */
  :: atomic {
       if :: h = 0 :: h = 1 fi;
       if
       :: rp[h].present ->
          knows[h] = rp[h].from;
          if
          :: rp[h].amount > 0 && (now < rp[h].until || NEVER) ->
             held[h] = held[h] + rp[h].amount;
             expiry[h] = rp[h].until
          :: else
          fi;
          clear_reply(h)
       :: else
       fi; h = 0 }
  /* the issuer changes */
  :: atomic { issuer == 0 -> issuer = 1; since = now;
#ifndef OLDISSUER
       ended[0] = 1; clear_request(0, 0); clear_request(1, 0);
       is[0].level = 0; is[0].out[0] = 0; is[0].out[1] = 0; is[0].until[0] = 0; is[0].until[1] = 0;
       is[0].seen[0] = 0; is[0].seen[1] = 0;
#endif
#ifdef FULLSTART
       is[1].level = B;
#endif
#ifndef NOUNKNOWN
       is[1].unknown[0] = 1; is[1].unknown[1] = 1
#endif
     }
  od
}
