/* Model of the consensus core: leader election, log replication, commit,
 * single-server membership changes, and a member that loses its disk.
 *
 * Checks that a term has at most one leader, that a committed entry is never
 * lost or replaced (guarantees 1, 2, 5 and 8 of docs/design.md, section 1, depend
 * on this), and that a new leader has every committed entry. Members 0, 1 and 2
 * form the initial group. The instance of member 2 may lose its disk at any time
 * and returns as member 3 with an empty disk, which is added after member 2 was
 * removed. Requests and replies may be lost. A partition or a suspended process is
 * a run in which a member takes no step.
 *
 * Other bounds: -DTERMS=3 -DLENGTH=2
 * Other bounds: -DTERMS=4 -DLENGTH=1
 *
 * Not modelled: pre-vote, read index, snapshots, partially written entries at
 * the end of the log, and messages of a leader or candidate that arrive after it
 * has moved to a later term.
 *
 * Seeded bugs: BUG_SAME_ID lets the member with the empty disk return under its
 * old id, BUG_SWAP removes and adds a member in one change, BUG_OLD_TERM commits
 * entries of earlier terms by counting replicas, BUG_VOTE_TWICE lets a member
 * vote twice in a term, BUG_SHORT_LOG grants a vote to a candidate whose log is
 * less up to date, BUG_CANDIDATE lets a candidate stay one after it has heard
 * from the leader of its term. */

#define MEMBERS 4
/* A complete replacement of a member takes three entries. Committing entries of
 * earlier terms by counting replicas fails only in a fourth term. */
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

/* An entry is identified by its term and index; config is the bit set of the
 * members from this entry on. */
typedef Log {
  byte term[4];
  byte config[4];
  byte length
};

Log logs[MEMBERS];
byte term[MEMBERS], votedFor[MEMBERS], votes[MEMBERS];
bool isLeader[MEMBERS], isAbsent[MEMBERS];
byte commit[MEMBERS];
byte match[16];

/* For the checks: the entry that was committed first at each index, and the term
 * of the leader that committed it. */
byte committedTerm[4], committedConfig[4], committedInTerm[4], committedLength;
byte leaderOf[5];
bool isDiskLost;

#define Config(i) logs[i].config[logs[i].length]
#define LastTerm(i) logs[i].term[logs[i].length]
#define Bit(i) (1 << (i))
#define Count(b) (((b) & 1) + (((b) >> 1) & 1) + (((b) >> 2) & 1) + (((b) >> 3) & 1))
#define IsQuorum(b, c) (2 * Count((b) & (c)) > Count(c))

inline AdoptTerm(i, t) {
  if
  :: term[i] < t ->
     term[i] = t; votedFor[i] = NOBODY; votes[i] = 0; isLeader[i] = false
  :: else
  fi
}

inline ResetMatch(i) {
  k = 0;
  do
  :: k < MEMBERS -> match[i * 4 + k] = 0; k++
  :: else -> break
  od;
  k = 0
}

inline StartElection(i) {
  term[i]++;
  votedFor[i] = i;
  votes[i] = Bit(i);
  isLeader[i] = false
}

/* Candidate i requests the vote of j; the reply may be lost. */
inline RequestVote(i, j) {
  if
  :: term[j] < term[i] -> AdoptTerm(j, term[i])
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

inline BecomeLeader(i) {
  assert(leaderOf[term[i]] == NOBODY || leaderOf[term[i]] == i);
  leaderOf[term[i]] = i;
  isLeader[i] = true;
  votes[i] = 0;
  ResetMatch(i);
  match[i * 4 + i] = logs[i].length;
  k = 1;
  do
  :: k <= committedLength ->
     /* A candidate may win an earlier term late, without the later entries; it
      * can't commit anything. */
     assert(term[i] <= committedInTerm[k] ||
            (logs[i].length >= k && logs[i].term[k] == committedTerm[k] &&
             logs[i].config[k] == committedConfig[k]));
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

/* Leader i sends its entry n to j, whose earlier entries match. j truncates its log
 * from n on only if its own entry n differs. */
inline Replicate(i, j, n) {
  AdoptTerm(j, term[i]);
#ifndef BUG_CANDIDATE
  /* A candidate that hears from the leader of its term becomes a follower. */
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
     :: k <= committedLength ->
        assert(committedTerm[k] == logs[i].term[k] &&
               committedConfig[k] == logs[i].config[k])
     :: else ->
        committedTerm[k] = logs[i].term[k];
        committedConfig[k] = logs[i].config[k];
        committedInTerm[k] = term[i];
        committedLength = k
     fi;
     k++
  :: else -> break
  od;
  k = 0
}

/* A membership change may begin once the previous one and an entry of the leader's
 * own term are committed. */
#define MayChangeMembers(i) (commit[i] == logs[i].length && \
                      logs[i].term[commit[i]] == term[i])

/* A member of the initial group without entries has the bootstrap config. A learner
 * has an empty config and therefore starts no election. */
active proctype System() {
  byte i, j, k, n;
  atomic {
    logs[0].config[0] = 7;
    logs[1].config[0] = 7;
    logs[2].config[0] = 7;
    isAbsent[3] = true;
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
       :: !isAbsent[i] && !isLeader[i] && term[i] < TERMS &&
          (Config(i) & Bit(i)) -> StartElection(i)
       :: !isAbsent[i] && !isAbsent[j] && i != j && votes[i] != 0 &&
          !isLeader[i] && term[i] >= term[j] && !(votes[i] & Bit(j)) &&
          (Config(i) & Bit(j)) -> RequestVote(i, j)
       :: !isAbsent[i] && votes[i] != 0 && !isLeader[i] && IsQuorum(votes[i], Config(i)) -> BecomeLeader(i)
       :: isLeader[i] && logs[i].length < LENGTH -> Append(i, Config(i))
#ifdef BUG_SWAP
       :: isLeader[i] && logs[i].length < LENGTH && isDiskLost &&
          Config(i) == 7 -> Append(i, 11)
#else
       :: isLeader[i] && logs[i].length < LENGTH && isDiskLost && MayChangeMembers(i) &&
          Config(i) == 7 -> Append(i, 3)
       :: isLeader[i] && logs[i].length < LENGTH && MayChangeMembers(i) &&
          Config(i) == 3 && match[i * 4 + 3] == logs[i].length ->
          Append(i, 11)
#endif
       :: isLeader[i] && !isAbsent[j] && i != j && term[i] >= term[j] &&
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
       :: i == 2 && !isDiskLost ->
          isDiskLost = true;
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
          isAbsent[2] = true; isAbsent[3] = false;
#endif
          skip
       :: else
       fi;
       i = 0;
       j = 0
     }
  od
}
