/* Model of the budget grants that control makes to two routers.
 *
 * Checks guarantee 1 of docs/design.md, section 1 (the tokens spent never exceed
 * the tokens paid), guarantee 2 (a usage batch is counted once), and that no token
 * is stranded at a live router: each token that control counts as outstanding is
 * at the router, or in a message that will be resent. Any message may be lost,
 * delayed or duplicated. A partition or a suspended process is a run in which its
 * events happen late. Session 2 replaces session 0, whose process may have crashed
 * or may only be suspended.
 *
 * Not modelled: the queue and the timing of the router's local budget, recalls
 * by control, several workspaces, and loss of control's log (consensus.pml).
 *
 * Seeded bugs: BUG_RESENT grants tokens again for a resent request, BUG_STALE
 * grants tokens for a request that isn't the newest, BUG_BATCH counts a resent
 * batch again, BUG_EXPIRE lets control revoke a grant after some time. */

#define SESSIONS 3
/* Session 0 may keep running after it was replaced, so its bounds are larger. */
#define REQUESTS(s) (s == 0 -> 2 : 1)
#define BATCHES(s) (s == 0 -> 2 : 1)

byte paid = 2, spent, served;
bool isToppedUp;

/* State of control, by session. */
bool isOpen[SESSIONS], isClosed[SESSIONS];
byte outstanding[SESSIONS], lastRequest[SESSIONS], lastBatch[SESSIONS];
byte granted[SESSIONS];

/* State of the routers, by session. */
bool isAlive[SESSIONS], isRequesting[SESSIONS], isSending[SESSIONS];
byte request[SESSIONS], available[SESSIONS], reserved[SESSIONS];
byte used[SESSIONS], returned[SESSIONS];
byte batch[SESSIONS], batchUsed[SESSIONS], batchReturned[SESSIONS];

byte total, inBatch, inReply;

inline CheckInvariants() {
  total = outstanding[0] + outstanding[1] + outstanding[2];
  assert(spent + total <= paid);
  assert(served <= paid);
  total = 0;
}

/* The tokens that control counts as outstanding for a live session are all at the
 * router, in a batch that control hasn't applied, or in a reply that the router
 * hasn't received. */
inline CheckSession(s) {
  if
  :: isAlive[s] ->
     if
     :: isSending[s] && lastBatch[s] < batch[s] ->
        inBatch = batchUsed[s] + batchReturned[s]
     :: else -> inBatch = 0
     fi;
     if
     :: isRequesting[s] && lastRequest[s] == request[s] -> inReply = granted[s]
     :: else -> inReply = 0
     fi;
     assert(outstanding[s] ==
            available[s] + reserved[s] + used[s] + returned[s] + inBatch + inReply);
     inBatch = 0;
     inReply = 0
  :: else
  fi
}

/* Control applies request n of session s, which needn't be the newest one. */
inline ApplyRequest(s, n) {
  if
  :: isClosed[s] -> skip
  :: !isClosed[s] && n <= lastRequest[s] ->
#ifdef BUG_RESENT
     if
     :: n == lastRequest[s] &&
        spent + outstanding[0] + outstanding[1] + outstanding[2] < paid ->
        outstanding[s]++; granted[s] = 1
     :: else
     fi
#endif
#ifdef BUG_STALE
     if
     :: n < lastRequest[s] &&
        spent + outstanding[0] + outstanding[1] + outstanding[2] < paid ->
        outstanding[s]++
     :: else
     fi
#endif
     skip
  :: !isClosed[s] && n > lastRequest[s] ->
     total = paid - spent - outstanding[0] - outstanding[1] - outstanding[2];
     lastRequest[s] = n;
     granted[s] = 0;
     if
     :: total >= 1 -> granted[s] = 1
     :: total >= 2 -> granted[s] = 2
     :: total == 0 -> skip
     fi;
     outstanding[s] = outstanding[s] + granted[s];
     total = 0
  fi
}

inline ApplyBatch(s) {
  if
#ifdef BUG_BATCH
  :: batchUsed[s] + batchReturned[s] <= outstanding[s] ->
#else
  :: lastBatch[s] < batch[s] ->
#endif
     lastBatch[s] = batch[s];
     outstanding[s] = outstanding[s] - batchUsed[s] - batchReturned[s];
     spent = spent + batchUsed[s]
  :: else
  fi
}

proctype Router(byte s) {
  do
  /* The router requests tokens. The next two steps deliver the newest request
   * and the one before it, any number of times. */
  :: atomic { isAlive[s] && !isRequesting[s] && request[s] < REQUESTS(s) ->
       request[s]++; isRequesting[s] = true }
  :: atomic { isAlive[s] && request[s] >= 1 ->
       ApplyRequest(s, request[s]); CheckInvariants(); CheckSession(s) }
  :: atomic { isAlive[s] && request[s] >= 2 ->
       ApplyRequest(s, request[s] - 1); CheckInvariants(); CheckSession(s) }
  /* The reply arrives; duplicates are ignored. */
  :: atomic { isAlive[s] && isRequesting[s] && lastRequest[s] == request[s] ->
       isRequesting[s] = false;
       available[s] = available[s] + granted[s];
       CheckSession(s) }
  /* The reply to a closed session says that no tokens are granted. */
  :: atomic { isAlive[s] && isRequesting[s] && isClosed[s] &&
              lastRequest[s] < request[s] -> isRequesting[s] = false }
  :: atomic { isAlive[s] && available[s] > 0 ->
       available[s]--; reserved[s]++ }
  /* A caller's request ends: the reserved token was used (this step) or released
   * (the next step). */
  :: atomic { isAlive[s] && reserved[s] > 0 ->
       reserved[s]--; used[s]++; served++; CheckInvariants() }
  :: atomic { isAlive[s] && reserved[s] > 0 ->
       reserved[s]--; available[s]++ }
  :: atomic { isAlive[s] && available[s] > 0 ->
       available[s]--; returned[s]++ }
  :: atomic { isAlive[s] && !isSending[s] && used[s] + returned[s] > 0 &&
              batch[s] < BATCHES(s) ->
       isSending[s] = true; batch[s]++;
       batchUsed[s] = used[s]; batchReturned[s] = returned[s];
       used[s] = 0; returned[s] = 0 }
  /* The usage batch may arrive any number of times. */
  :: atomic { isAlive[s] && batch[s] > 0 && isSending[s] ->
       ApplyBatch(s); CheckInvariants(); CheckSession(s) }
  :: atomic { isAlive[s] && isSending[s] && lastBatch[s] == batch[s] ->
       isSending[s] = false; batchUsed[s] = 0; batchReturned[s] = 0;
       CheckSession(s) }
  /* The process crashes; reserved tokens may have been used. */
  :: atomic { s == 0 && isAlive[s] ->
       isAlive[s] = false;
       served = served + reserved[s];
       available[s] = 0; reserved[s] = 0; used[s] = 0; returned[s] = 0;
       CheckInvariants(); break }
  od
}

active proctype Control() {
  atomic {
    isOpen[0] = true; isAlive[0] = true; run Router(0);
    isOpen[1] = true; isAlive[1] = true; run Router(1)
  }
  do
  :: atomic { !isToppedUp -> isToppedUp = true; paid++ }
  /* The instance of session 0 registers a new session. The old process may only
   * have been suspended, and then keeps running. */
  :: atomic { !isOpen[2] ->
       isClosed[0] = true; isOpen[2] = true; isAlive[2] = true;
       run Router(2) }
#ifdef BUG_EXPIRE
  :: atomic { outstanding[0] > 0 && isAlive[0] -> outstanding[0]-- }
#endif
  od
}
