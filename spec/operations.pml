/* Model of calls that must run at most once, with one idempotency key.
 *
 * Checks guarantee 5 of docs/design.md, section 1 (the call runs at most once),
 * guarantee 4 (a caller that receives not_run can rely on it), and that a caller
 * that receives a response gets that of the only run. Three attempts at two
 * routers run concurrently or one after another. Session 2 replaces session 0,
 * whose process may have crashed or may only be suspended. Requests and replies
 * between router and control may be lost, delayed or duplicated.
 *
 * Not modelled: the hash of the body, keys of several workspaces, removal of old
 * responses, and loss of control's log (consensus.pml).
 *
 * Seeded bugs: BUG_RESTART lets a second attempt take over a call in progress,
 * BUG_FORGET removes the record of a call in progress when its session is closed,
 * BUG_ABORT_SENT aborts a call whose connection was lost after the request was
 * sent. */

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

/* Control applies Begin of attempt a; isWaiting is true if the router still waits
 * for the reply. */
inline ApplyBegin(a, isWaiting) {
  if
  :: isClosed[session[a]] ->
     if :: isWaiting -> ReportNotRun(a) :: else fi
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
     /* The caller gets 409, the stored response or outcome_unknown; this attempt
      * doesn't run the call. */
     if
     :: isWaiting && op == Completed -> assert(runs == 1); stage[a] = Ended
     :: isWaiting && op != Completed -> stage[a] = Ended
     :: else
     fi
  :: !isClosed[session[a]] && op != None && op != InProgress && owner == a ->
     if :: isWaiting -> stage[a] = Ended :: else fi
  fi
}

inline ReportNotRun(a) {
  assert(!hasRun[a]);
  stage[a] = Ended
}

/* Records the end of the call; only the attempt that owns it may do so. */
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
  /* Begin arrives. Its reply may be lost, and then Begin is resent. */
  :: atomic { stage[a] == Begun -> ApplyBegin(a, true) }
  /* A duplicate of Begin arrives after the router has received a reply. */
  :: atomic { stage[a] != Begun && stage[a] != Idle -> ApplyBegin(a, false) }
  :: atomic { stage[a] == Started ->
       if
       :: stage[a] = Aborting      /* no connection was made */
       :: stage[a] = Connected
       fi }
  /* The request is sent; from now on the service may run it. */
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
  /* The service may also run the call after the connection was lost. */
  :: atomic { hasSent[a] && !hasRun[a] ->
       hasRun[a] = true; runs++; assert(runs <= 1) }
  :: atomic { stage[a] == Aborting -> ApplyEnd(a, None); ReportNotRun(a) }
  :: atomic { stage[a] == Completing ->
       ApplyEnd(a, Completed); assert(runs == 1); stage[a] = Ended }
  :: atomic { stage[a] == Losing -> ApplyEnd(a, Unknown); stage[a] = Ended }
  /* A delayed duplicate of the attempt's end arrives. */
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
  /* The instance of session 0 registers a new session. The old process has crashed
   * if it takes no further step; otherwise it was suspended. */
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
