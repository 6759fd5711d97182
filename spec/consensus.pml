/* The consensus core: election, log, commit, one-at-a-time membership change,
 * and a member that lost its disk.
 *
 * Checks that a term has one leader, that a committed record is never lost or
 * replaced (promises 1, 2, 5 and 8 rest on it), and that a new leader has every
 * committed record. Members 0, 1 and 2 start; the instance of member 2 loses
 * its disk at any time and comes back as member 3 with an empty disk, which is
 * added after 2 was removed. Requests and replies may be lost; a partition or a
 * frozen process is a run in which a member takes no step.
 *
 * Other bounds: -DTERMS=3 -DLENGTH=2
 * Other bounds: -DTERMS=4 -DLENGTH=1
 *
 * Leaves out: pre-vote and read index, snapshots, torn log tails, and messages
 * of a leader or candidate that arrive after it has moved to a later term.
 *
 * Seeded bugs: BUG_SAME_ID lets the member with the empty disk come back under
 * its old id, BUG_SWAP removes and adds in one change, BUG_OLD_TERM commits
 * records of earlier terms by counting, BUG_VOTE_TWICE forgets a vote,
 * BUG_SHORT_LOG votes for a candidate with an older log, BUG_CANDIDATE lets a
 * candidate go on in the term of a leader that it has heard from. */

#define MEMBERS 4
/* A whole change of membership takes three records; committing by counting
 * fails only in a fourth term. */
#ifndef TERMS
#ifdef BUG_OLD_TERM
#define TERMS 4
#define LENGTH 1
#else
#define TERMS 2
#define LENGTH 3
#endif
#endif
#define NOBODY 4

/* A record is known by its term and index; config is the set of members from
 * this record on, as bits. */
typedef Log {
  byte term[4];
  byte config[4];
  byte length
};

Log logs[MEMBERS];
byte term[MEMBERS], votedFor[MEMBERS], votes[MEMBERS];
bool isLeader[MEMBERS], isGone[MEMBERS];
byte commit[MEMBERS];
byte match[16];

/* What was committed first at each index, and in which term, for the checks. */
byte doneTerm[4], doneConfig[4], doneIn[4], done;
byte leaderOf[5];
bool isLost;

#define Config(i) logs[i].config[logs[i].length]
#define LastTerm(i) logs[i].term[logs[i].length]
#define Bit(i) (1 << (i))
#define Count(b) (((b) & 1) + (((b) >> 1) & 1) + (((b) >> 2) & 1) + (((b) >> 3) & 1))
#define IsQuorum(b, c) (2 * Count((b) & (c)) > Count(c))

inline StepTo(i, t) {
  if
  :: term[i] < t ->
     term[i] = t; votedFor[i] = NOBODY; votes[i] = 0; isLeader[i] = false
  :: else
  fi
}

inline ClearMatch(i) {
  k = 0;
  do
  :: k < MEMBERS -> match[i * 4 + k] = 0; k++
  :: else -> break
  od;
  k = 0
}

inline TimeOut(i) {
  term[i]++;
  votedFor[i] = i;
  votes[i] = Bit(i);
  isLeader[i] = false
}

/* Candidate i asks j; the reply may be lost. */
inline AskVote(i, j) {
  if
  :: term[j] < term[i] -> StepTo(j, term[i])
  :: else
  fi;
  if
#ifdef BUG_VOTE_TWICE
  :: term[j] == term[i] && !isLeader[j] &&
#else
  :: term[j] == term[i] && (votedFor[j] == NOBODY || votedFor[j] == i) &&
#endif
#ifdef BUG_SHORT_LOG
     true ->
#else
     (LastTerm(i) > LastTerm(j) ||
      (LastTerm(i) == LastTerm(j) && logs[i].length >= logs[j].length)) ->
#endif
     votedFor[j] = i;
     if
     :: votes[i] = votes[i] | Bit(j)
     :: skip
     fi
  :: else
  fi
}

inline Lead(i) {
  assert(leaderOf[term[i]] == NOBODY || leaderOf[term[i]] == i);
  leaderOf[term[i]] = i;
  isLeader[i] = true;
  votes[i] = 0;
  ClearMatch(i);
  match[i * 4 + i] = logs[i].length;
  k = 1;
  do
  :: k <= done ->
     /* A candidate can win an earlier term late; it can commit nothing. */
     assert(term[i] <= doneIn[k] ||
            (logs[i].length >= k && logs[i].term[k] == doneTerm[k] &&
             logs[i].config[k] == doneConfig[k]));
     k++
  :: else -> break
  od;
  k = 0
}

inline Append(i, members) {
  k = members;
  logs[i].length++;
  logs[i].term[logs[i].length] = term[i];
  logs[i].config[logs[i].length] = k;
  k = 0;
  match[i * 4 + i] = logs[i].length
}

/* Leader i sends its record n to j, which has equal records before it; j drops
 * its own records from there on only if they differ. */
inline Replicate(i, j, n) {
  StepTo(j, term[i]);
#ifndef BUG_CANDIDATE
  /* A candidate that hears from its term's leader stops being one. */
  votes[j] = 0;
#endif
  if
  :: logs[j].length >= n && logs[j].term[n] == logs[i].term[n]
  :: else ->
     k = n + 1;
     do
     :: k <= LENGTH -> logs[j].term[k] = 0; logs[j].config[k] = 0; k++
     :: else -> break
     od;
     k = 0;
     logs[j].length = n;
     logs[j].term[n] = logs[i].term[n];
     logs[j].config[n] = logs[i].config[n]
  fi;
  if
  :: match[i * 4 + j] < n -> match[i * 4 + j] = n
  :: skip
  fi
}

#define Acks(i, n) ((match[i * 4] >= n) + 2 * (match[i * 4 + 1] >= n) + \
                    4 * (match[i * 4 + 2] >= n) + 8 * (match[i * 4 + 3] >= n))

inline Commit(i, n) {
  commit[i] = n;
  k = 1;
  do
  :: k <= n ->
     if
     :: k <= done ->
        assert(doneTerm[k] == logs[i].term[k] &&
               doneConfig[k] == logs[i].config[k])
     :: else ->
        doneTerm[k] = logs[i].term[k];
        doneConfig[k] = logs[i].config[k];
        doneIn[k] = term[i];
        done = k
     fi;
     k++
  :: else -> break
  od;
  k = 0
}

/* A change may begin when the last one and a record of this term are
 * committed. */
#define MayChange(i) (commit[i] == logs[i].length && \
                      logs[i].term[commit[i]] == term[i])

/* The config of a member that has no record yet is the bootstrap one, for the
 * first members only; a learner has none and so starts no election. */
active proctype System() {
  byte i, j, k, n;
  atomic {
    logs[0].config[0] = 7;
    logs[1].config[0] = 7;
    logs[2].config[0] = 7;
    isGone[3] = true;
    i = 0;
    do
    :: i < MEMBERS -> votedFor[i] = NOBODY; leaderOf[i + 1] = NOBODY; i++
    :: else -> break
    od;
    i = 0
  }
  do
  :: atomic {
       select (i : 0 .. 3);
       select (j : 0 .. 3);
       if
       :: !isGone[i] && !isLeader[i] && term[i] < TERMS &&
          (Config(i) & Bit(i)) -> TimeOut(i)
       :: !isGone[i] && !isGone[j] && i != j && votes[i] != 0 &&
          !isLeader[i] && term[i] >= term[j] && !(votes[i] & Bit(j)) &&
          (Config(i) & Bit(j)) -> AskVote(i, j)
       :: !isGone[i] && votes[i] != 0 && !isLeader[i] && IsQuorum(votes[i], Config(i)) -> Lead(i)
       :: isLeader[i] && logs[i].length < LENGTH -> Append(i, Config(i))
#ifdef BUG_SWAP
       :: isLeader[i] && logs[i].length < LENGTH && isLost &&
          Config(i) == 7 -> Append(i, 11)
#else
       :: isLeader[i] && logs[i].length < LENGTH && isLost && MayChange(i) &&
          Config(i) == 7 -> Append(i, 3)
       :: isLeader[i] && logs[i].length < LENGTH && MayChange(i) &&
          Config(i) == 3 && match[i * 4 + 3] == logs[i].length ->
          Append(i, 11)
#endif
       :: isLeader[i] && !isGone[j] && i != j && term[i] >= term[j] &&
          match[i * 4 + j] < logs[i].length ->
          n = match[i * 4 + j] + 1;
          Replicate(i, j, n);
          n = 0
       :: isLeader[i] && commit[i] < logs[i].length ->
          n = commit[i] + 1;
          do
          :: n < logs[i].length -> n++
          :: break
          od;
          if
#ifdef BUG_OLD_TERM
          :: IsQuorum(Acks(i, n), Config(i)) -> Commit(i, n)
#else
          :: logs[i].term[n] == term[i] && IsQuorum(Acks(i, n), Config(i)) ->
             Commit(i, n)
#endif
          :: else
          fi;
          n = 0
       :: i == 2 && !isLost ->
          isLost = true;
          isLeader[2] = false; votes[2] = 0; votedFor[2] = NOBODY;
          term[2] = 0; commit[2] = 0;
          logs[2].length = 0;
          k = 1;
          do
          :: k <= LENGTH -> logs[2].term[k] = 0; logs[2].config[k] = 0; k++
          :: else -> break
          od;
          k = 0;
#ifndef BUG_SAME_ID
          isGone[2] = true; isGone[3] = false;
#endif
          skip
       :: else
       fi;
       i = 0;
       j = 0
     }
  od
}
