/* Budget grants between control and two routers.
 *
 * Checks promise 1 (spend never exceeds what was paid), promise 2 (a usage
 * batch counts once) and that no token is stranded at a live router: each one
 * that control counts as outstanding is at the router or in a message that will
 * be sent again. Any message may be lost, delayed or repeated; a partition or a
 * frozen process is a run in which its events are late. Session 2 replaces
 * session 0, whose process may be dead or only frozen.
 *
 * Leaves out: the purse's queue and timing, recall by control, several
 * workspaces, and loss of control's log (consensus.pml).
 *
 * Seeded bugs: BUG_RESENT grants a resent request again, BUG_STALE grants an
 * older request, BUG_BATCH counts a resent batch again, BUG_EXPIRE takes a
 * grant back by time. */

#define SESSIONS 3
/* Session 0 goes on after it was replaced, so it has the larger bounds. */
#define REQUESTS(s) (s == 0 -> 2 : 1)
#define BATCHES(s) (s == 0 -> 2 : 1)

byte paid = 2, spent, served;
bool isToppedUp;

/* Control's side, by session. */
bool isOpen[SESSIONS], isClosed[SESSIONS];
byte outstanding[SESSIONS], lastRequest[SESSIONS], lastBatch[SESSIONS];
byte granted[SESSIONS];

/* The routers' side, by session. */
bool isAlive[SESSIONS], isAsking[SESSIONS], isSending[SESSIONS];
byte request[SESSIONS], available[SESSIONS], reserved[SESSIONS];
byte used[SESSIONS], given[SESSIONS];
byte batch[SESSIONS], batchUsed[SESSIONS], batchGiven[SESSIONS];

byte total, inBatch, inReply;

inline CheckInvariants() {
  total = outstanding[0] + outstanding[1] + outstanding[2];
  assert(spent + total <= paid);
  assert(served <= paid);
  total = 0;
}

/* What control counts for a live session is where it can be used or returned. */
inline CheckSession(s) {
  if
  :: isAlive[s] ->
     if
     :: isSending[s] && lastBatch[s] < batch[s] ->
        inBatch = batchUsed[s] + batchGiven[s]
     :: else -> inBatch = 0
     fi;
     if
     :: isAsking[s] && lastRequest[s] == request[s] -> inReply = granted[s]
     :: else -> inReply = 0
     fi;
     assert(outstanding[s] ==
            available[s] + reserved[s] + used[s] + given[s] + inBatch + inReply);
     inBatch = 0;
     inReply = 0
  :: else
  fi
}

/* Control applies request n of session s; n is the newest or an older one. */
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
  :: batchUsed[s] + batchGiven[s] <= outstanding[s] ->
#else
  :: lastBatch[s] < batch[s] ->
#endif
     lastBatch[s] = batch[s];
     outstanding[s] = outstanding[s] - batchUsed[s] - batchGiven[s];
     spent = spent + batchUsed[s]
  :: else
  fi
}

proctype Router(byte s) {
  do
  /* The process asks for tokens; the request may arrive now, later or again. */
  :: atomic { isAlive[s] && !isAsking[s] && request[s] < REQUESTS(s) ->
       request[s]++; isAsking[s] = true }
  :: atomic { isAlive[s] && request[s] >= 1 ->
       ApplyRequest(s, request[s]); CheckInvariants(); CheckSession(s) }
  :: atomic { isAlive[s] && request[s] >= 2 ->
       ApplyRequest(s, request[s] - 1); CheckInvariants(); CheckSession(s) }
  /* The reply arrives; one that arrives again is ignored. */
  :: atomic { isAlive[s] && isAsking[s] && lastRequest[s] == request[s] ->
       isAsking[s] = false;
       available[s] = available[s] + granted[s];
       CheckSession(s) }
  /* A closed session is told that nothing can be had. */
  :: atomic { isAlive[s] && isAsking[s] && isClosed[s] &&
              lastRequest[s] < request[s] -> isAsking[s] = false }
  :: atomic { isAlive[s] && available[s] > 0 ->
       available[s]--; reserved[s]++ }
  /* A request ends having used a reserved token, or not. */
  :: atomic { isAlive[s] && reserved[s] > 0 ->
       reserved[s]--; used[s]++; served++; CheckInvariants() }
  :: atomic { isAlive[s] && reserved[s] > 0 ->
       reserved[s]--; available[s]++ }
  :: atomic { isAlive[s] && available[s] > 0 ->
       available[s]--; given[s]++ }
  :: atomic { isAlive[s] && !isSending[s] && used[s] + given[s] > 0 &&
              batch[s] < BATCHES(s) ->
       isSending[s] = true; batch[s]++;
       batchUsed[s] = used[s]; batchGiven[s] = given[s];
       used[s] = 0; given[s] = 0 }
  /* The batch may arrive any number of times. */
  :: atomic { isAlive[s] && batch[s] > 0 && isSending[s] ->
       ApplyBatch(s); CheckInvariants(); CheckSession(s) }
  :: atomic { isAlive[s] && isSending[s] && lastBatch[s] == batch[s] ->
       isSending[s] = false; batchUsed[s] = 0; batchGiven[s] = 0;
       CheckSession(s) }
  /* Death: what was reserved may have been served. */
  :: atomic { s == 0 && isAlive[s] ->
       isAlive[s] = false;
       served = served + reserved[s];
       available[s] = 0; reserved[s] = 0; used[s] = 0; given[s] = 0;
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
  /* The instance of session 0 registers anew; the old process may only have
   * been frozen, and goes on. */
  :: atomic { !isOpen[2] ->
       isClosed[0] = true; isOpen[2] = true; isAlive[2] = true;
       run Router(2) }
#ifdef BUG_EXPIRE
  :: atomic { outstanding[0] > 0 && isAlive[0] -> outstanding[0]-- }
#endif
  od
}
