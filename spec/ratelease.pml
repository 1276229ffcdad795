/*
 * Rate credits that an issuer leases to entry VMs, across a change of the issuer.
 *
 * Go package: internal/lease (Issuer, Holder); internal/controlvm carries the messages.
 * Transitions covered: request with report and return, grant, late or lost reply, duplicated request,
 * spending, expiry at both sides, refill, change of the issuer, first reports to the new issuer.
 *
 * Bounds: 2 holders, 2 issuers, burst 2, 1 credit per tick, expiry after 2 ticks, 3 ticks, 3 requests of each
 * holder and 5 in all. Requests and replies may be lost or arrive late; a request may arrive twice. Clock
 * drift is left to the tests of the package.
 *
 * Invariant: an ideal token bucket of the same rate and burst, charged at the moment of spending, is never
 * overdrawn; so every window admits at most burst + rate x length.
 *
 * Switches that remove one safeguard each; every one must give a counterexample:
 *  NOEXPIRY    the holder spends credits after their expiry
 *  NOUNKNOWN   a new issuer ignores holders that have not reported to it
 *  NAMELESS    a new issuer accepts a report that does not name it, which may be older than its term
 *  LATEREPLY   the holder accepts the reply to a request that it has superseded
 *  TWICE       the issuer processes a repeated request again
 *  OLDISSUER   the old issuer continues to grant after its lease
 *  FULLSTART   a new issuer starts with a full bucket
 */
#define HOLDERS 2
#define BURST 2
#define CREDIT_LIFETIME 2
#define MAX_TIME 3
#define MAX_PER_HOLDER 1 /* most credits that one holder may have: half of the burst */

#ifdef TWICE
#define IS_NEW_REQUEST(e, h) true
#else
#define IS_NEW_REQUEST(e, h) (request[h].to[e].seq > issuers[e].last_seq[h])
#endif
#ifdef NAMELESS
#define REPORT_TRUSTED(h, e) true
#else
#define REPORT_TRUSTED(h, e) (request[h].to[e].named_issuer == e + 1)
#endif
#ifdef NOEXPIRY
#define IGNORE_EXPIRY true
#else
#define IGNORE_EXPIRY false
#endif

byte now, ideal_level = BURST; /* ideal_level: level of the ideal bucket */
byte issuer;                   /* current issuer */
byte issuer_start;             /* time at which the second issuer began */
bool lease_ended[2];           /* the issuer no longer grants */

/* unknown: the holder has not reported to this issuer; last_seq: number of its last request processed */
typedef Issuer {
  byte level; byte outstanding[HOLDERS]; byte expires_at[HOLDERS];
  bool unknown[HOLDERS]; byte last_seq[HOLDERS]
}
Issuer issuers[2];

/* held, returned: credits that the holder keeps and returns; named_issuer: its last_issuer */
typedef Request { bool present; byte seq; byte held; byte returned; byte sent_at; byte named_issuer }
typedef Slot { Request to[2] }
Slot request[HOLDERS];         /* one request in flight to each issuer */

typedef Reply { bool present; byte amount; byte expires_at; byte from }
Reply reply[HOLDERS];

/* last_issuer: issuer + 1 that replied last */
byte held[HOLDERS], expiry[HOLDERS], seq[HOLDERS], last_issuer[HOLDERS];

/* Sets left to the burst less the outstanding credits and a reserve for each holder that has not reported. */
inline available(e, left) {
  left = BURST;
  k = 0;
  do
  :: k < HOLDERS ->
     left = (left > issuers[e].outstanding[k] -> left - issuers[e].outstanding[k] : 0);
     if
     :: issuers[e].unknown[k] -> left = (left > MAX_PER_HOLDER -> left - MAX_PER_HOLDER : 0)
     :: else
     fi;
     k++
  :: else -> break
  od;
  k = 0
}

/* Removes grants that their holders can no longer spend, and the reserve for holders that did not report. */
inline expire_grants(e) {
  k = 0;
  do
  :: k < HOLDERS ->
     if
     :: issuers[e].outstanding[k] > 0 && now >= issuers[e].expires_at[k] ->
        issuers[e].outstanding[k] = 0; issuers[e].expires_at[k] = 0
     :: else
     fi;
     if
     :: issuers[e].unknown[k] && now >= issuer_start + CREDIT_LIFETIME -> issuers[e].unknown[k] = 0
     :: else
     fi;
     k++
  :: else -> break
  od;
  k = 0
}

/* An empty slot is all zeros, so that equivalent states compare equal. */
inline clear_request(h, e) {
  request[h].to[e].present = 0; request[h].to[e].seq = 0; request[h].to[e].held = 0;
  request[h].to[e].returned = 0; request[h].to[e].sent_at = 0; request[h].to[e].named_issuer = 0
}

inline clear_reply(h) {
  reply[h].present = 0; reply[h].amount = 0; reply[h].expires_at = 0; reply[h].from = 0
}

active proctype system() {
  byte h, e, k, r, a; /* holder, issuer, index, available credits, amount */
  atomic { issuers[0].level = BURST }
end:
  do
  :: atomic { now < MAX_TIME -> now++;
       ideal_level = (ideal_level < BURST -> ideal_level + 1 : BURST);
       e = issuer; expire_grants(e);
       available(e, r);
       issuers[e].level = (issuers[e].level < r -> issuers[e].level + 1 : r);
       e = 0; r = 0;
       /* expired credits cannot be spent */
#ifndef NOEXPIRY
       if :: held[0] > 0 && now >= expiry[0] -> held[0] = 0; expiry[0] = 0 :: else fi;
       if :: held[1] > 0 && now >= expiry[1] -> held[1] = 0; expiry[1] = 0 :: else fi;
#endif
     }
  /* a holder spends a credit */
  :: atomic {
       if :: h = 0 :: h = 1 fi;
       if
       :: held[h] > 0 -> assert(ideal_level > 0); ideal_level--; held[h]--;
          if :: held[h] == 0 -> expiry[h] = 0 :: else fi
       :: else
       fi; h = 0 }
  /* a holder sends an issuer a request that reports its credits; it may return all of them */
  :: atomic {
       if :: h = 0 :: h = 1 fi;
       if :: e = 0 :: e = 1 fi;
       if
       :: seq[h] < 3 && seq[0] + seq[1] < 5 && !lease_ended[e] ->
          seq[h]++;
          request[h].to[e].present = 1; request[h].to[e].seq = seq[h]; request[h].to[e].sent_at = now;
          request[h].to[e].named_issuer = last_issuer[h];
          if
          :: held[h] > 0 -> request[h].to[e].returned = held[h]; held[h] = 0; expiry[h] = 0
          :: request[h].to[e].returned = 0
          fi;
          request[h].to[e].held = held[h]
#ifndef LATEREPLY
          ; clear_reply(h)
#endif
       :: else
       fi; h = 0; e = 0 }
  /* an issuer replies to a request */
  :: atomic {
       if :: h = 0 :: h = 1 fi;
       if :: e = 0 :: e = 1 fi;
       if
       :: request[h].to[e].present && (e == issuer || (e < issuer && !lease_ended[e])) &&
          IS_NEW_REQUEST(e, h) ->
          expire_grants(e);
          issuers[e].last_seq[h] = request[h].to[e].seq;
          if
          :: issuers[e].unknown[h] && !REPORT_TRUSTED(h, e) -> skip
          :: else ->
             issuers[e].unknown[h] = 0;
             /* returned credits go back to the bucket if they still count as outstanding */
             a = request[h].to[e].returned;
             k = (issuers[e].outstanding[h] > request[h].to[e].held ->
                  issuers[e].outstanding[h] - request[h].to[e].held : 0);
             a = (a < k -> a : k); k = 0;
             issuers[e].outstanding[h] = request[h].to[e].held;
             if
             :: issuers[e].outstanding[h] > 0 && issuers[e].expires_at[h] < now + CREDIT_LIFETIME ->
                issuers[e].expires_at[h] = now + CREDIT_LIFETIME
             :: else
             fi;
             available(e, r);
             issuers[e].level = (issuers[e].level + a < r -> issuers[e].level + a : r);
             /* grant up to the limit of one holder */
             a = (issuers[e].level < MAX_PER_HOLDER - issuers[e].outstanding[h] ->
                  issuers[e].level : MAX_PER_HOLDER - issuers[e].outstanding[h])
          fi;
          if
          :: issuers[e].unknown[h] -> a = 0
          :: else -> issuers[e].level = issuers[e].level - a;
             issuers[e].outstanding[h] = issuers[e].outstanding[h] + a;
             if :: a > 0 -> issuers[e].expires_at[h] = now + CREDIT_LIFETIME :: else fi
          fi;
          reply[h].present = 1; reply[h].amount = a;
          reply[h].expires_at = request[h].to[e].sent_at + CREDIT_LIFETIME; reply[h].from = e + 1;
          /* the network may deliver the request again */
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
       :: reply[h].present ->
          last_issuer[h] = reply[h].from;
          if
          :: reply[h].amount > 0 && (now < reply[h].expires_at || IGNORE_EXPIRY) ->
             held[h] = held[h] + reply[h].amount;
             expiry[h] = reply[h].expires_at
          :: else
          fi;
          clear_reply(h)
       :: else
       fi; h = 0 }
  /* the issuer changes */
  :: atomic { issuer == 0 -> issuer = 1; issuer_start = now;
#ifndef OLDISSUER
       lease_ended[0] = 1; clear_request(0, 0); clear_request(1, 0);
       issuers[0].level = 0; issuers[0].outstanding[0] = 0; issuers[0].outstanding[1] = 0;
       issuers[0].expires_at[0] = 0; issuers[0].expires_at[1] = 0;
       issuers[0].last_seq[0] = 0; issuers[0].last_seq[1] = 0;
#endif
#ifdef FULLSTART
       issuers[1].level = BURST;
#endif
#ifndef NOUNKNOWN
       issuers[1].unknown[0] = 1; issuers[1].unknown[1] = 1
#endif
     }
  od
}
