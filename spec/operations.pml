/* Calls that must run at most once, with one idempotency key.
 *
 * Checks promise 5 (the call runs at most once), promise 4 (a caller that is
 * told not_run can rely on it) and that a caller who gets an answer gets that
 * of the one run. Three attempts race or follow each other at two routers;
 * session 2 replaces session 0, whose process may be dead or frozen. Requests
 * and replies between router and control may be lost, delayed and repeated.
 *
 * Leaves out: the body hash, keys of several workspaces, dropping of old
 * answers, and loss of control's log (consensus.pml).
 *
 * Seeded bugs: BUG_RESTART lets a second session begin a call in progress,
 * BUG_FORGET drops the intent of a closed session, BUG_ABORT_SENT aborts when
 * the connection was lost after sending. */

#define ATTEMPTS 3
#define NOBODY 3

mtype = { None, InProgress, Completed, Unknown };
mtype = { Idle, Begun, Started, Connected, Sent, Aborting, Completing, Losing,
          Ended };

mtype op = None;
byte owner = NOBODY;
byte runs;
bool isClosed[3], isOpen[3];

mtype stage[ATTEMPTS] = Idle;
byte session[ATTEMPTS];
bool hasSent[ATTEMPTS], hasRun[ATTEMPTS];

/* Control applies Begin of attempt a; isWaiting says whether the router still
 * waits for the reply. */
inline ApplyBegin(a, isWaiting) {
  if
  :: isClosed[session[a]] ->
     if :: isWaiting -> TellNotRun(a) :: else fi
  :: !isClosed[session[a]] && op == None ->
     op = InProgress; owner = a;
     if :: isWaiting -> stage[a] = Started :: isWaiting :: else fi
  :: !isClosed[session[a]] && op == InProgress && owner == a ->
     if :: isWaiting -> stage[a] = Started :: isWaiting :: else fi
#ifdef BUG_RESTART
  :: !isClosed[session[a]] && op == InProgress && owner != a ->
     owner = a;
     if :: isWaiting -> stage[a] = Started :: else fi
#endif
  :: !isClosed[session[a]] && op != None && owner != a ->
     /* 409, a replay of the answer, or unknown: this attempt does not run. */
     if
     :: isWaiting && op == Completed -> assert(runs == 1); stage[a] = Ended
     :: isWaiting && op != Completed -> stage[a] = Ended
     :: else
     fi
  :: !isClosed[session[a]] && op != None && op != InProgress && owner == a ->
     if :: isWaiting -> stage[a] = Ended :: else fi
  fi
}

inline TellNotRun(a) {
  assert(!hasRun[a]);
  stage[a] = Ended
}

/* Ends the call in the register; only its owner may. */
inline ApplyEnd(a, state) {
  if
  :: owner == a && (op == InProgress || op == Unknown) ->
     op = state;
     if :: state == None -> owner = NOBODY :: else fi
  :: else
  fi
}

proctype Attempt(byte a) {
  atomic {
    if
    :: isOpen[0] && !isClosed[0] -> session[a] = 0
    :: isOpen[1] -> session[a] = 1
    :: isOpen[2] -> session[a] = 2
    fi;
    stage[a] = Begun
  }
  do
  /* Begin arrives; the reply is lost or not, and Begin is sent again. */
  :: atomic { stage[a] == Begun -> ApplyBegin(a, true) }
  /* An old copy of Begin arrives after the router has gone on. */
  :: atomic { stage[a] != Begun && stage[a] != Idle -> ApplyBegin(a, false) }
  :: atomic { stage[a] == Started ->
       if
       :: stage[a] = Aborting      /* no connection was made */
       :: stage[a] = Connected
       fi }
  /* The request is sent; from here on the service may run it. */
  :: atomic { stage[a] == Connected -> hasSent[a] = true; stage[a] = Sent }
  :: atomic { stage[a] == Sent && !hasRun[a] ->
       hasRun[a] = true; runs++; assert(runs <= 1) }
  :: atomic { stage[a] == Sent && hasRun[a] -> stage[a] = Completing }
  :: atomic { stage[a] == Sent ->
#ifdef BUG_ABORT_SENT
       stage[a] = Aborting
#else
       stage[a] = Losing
#endif
     }
  /* A service may run a call after the connection was lost. */
  :: atomic { hasSent[a] && !hasRun[a] ->
       hasRun[a] = true; runs++; assert(runs <= 1) }
  :: atomic { stage[a] == Aborting -> ApplyEnd(a, None); TellNotRun(a) }
  :: atomic { stage[a] == Completing ->
       ApplyEnd(a, Completed); assert(runs == 1); stage[a] = Ended }
  :: atomic { stage[a] == Losing -> ApplyEnd(a, Unknown); stage[a] = Ended }
  /* A late copy of an attempt's end arrives. */
  :: atomic { stage[a] == Ended && hasSent[a] && hasRun[a] ->
       ApplyEnd(a, Unknown) }
  od
}

active proctype Control() {
  byte a;
  atomic {
    isOpen[0] = true;
    isOpen[1] = true;
    a = 0;
    do
    :: a < ATTEMPTS -> run Attempt(a); a++
    :: else -> break
    od;
    a = 0
  }
  /* The instance of session 0 registers anew. The old process is dead if it
   * takes no further step, or frozen if it does. */
  atomic {
    isClosed[0] = true;
    isOpen[2] = true;
    if
    :: owner != NOBODY && op == InProgress && session[owner] == 0 ->
#ifdef BUG_FORGET
       op = None; owner = NOBODY
#else
       op = Unknown
#endif
    :: else
    fi
  }
}
