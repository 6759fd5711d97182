#define rand	pan_rand
#define pthread_equal(a,b)	((a)==(b))
#if defined(HAS_CODE) && defined(VERBOSE)
	#ifdef BFS_PAR
		bfs_printf("Pr: %d Tr: %d\n", II, t->forw);
	#else
		cpu_printf("Pr: %d Tr: %d\n", II, t->forw);
	#endif
#endif
	switch (t->forw) {
	default: Uerror("bad forward move");
	case 0:	/* if without executable clauses */
		continue;
	case 1: /* generic 'goto' or 'skip' */
		IfNotBlocked
		_m = 3; goto P999;
	case 2: /* generic 'else' */
		IfNotBlocked
		if (trpt->o_pm&1) continue;
		_m = 3; goto P999;

		 /* PROC System */
	case 3: // STATE 1 - m.pml:182 - [logs[0].config[0] = 7] (0:12:5 - 1)
		IfNotBlocked
		reached[0][1] = 1;
		(trpt+1)->bup.ovals = grab_ints(5);
		(trpt+1)->bup.ovals[0] = ((int)now.logs[0].config[0]);
		now.logs[0].config[0] = 7;
#ifdef VAR_RANGES
		logval("logs[0].config[0]", ((int)now.logs[0].config[0]));
#endif
		;
		/* merge: logs[1].config[0] = 7(12, 2, 12) */
		reached[0][2] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.logs[1].config[0]);
		now.logs[1].config[0] = 7;
#ifdef VAR_RANGES
		logval("logs[1].config[0]", ((int)now.logs[1].config[0]));
#endif
		;
		/* merge: logs[2].config[0] = 7(12, 3, 12) */
		reached[0][3] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.logs[2].config[0]);
		now.logs[2].config[0] = 7;
#ifdef VAR_RANGES
		logval("logs[2].config[0]", ((int)now.logs[2].config[0]));
#endif
		;
		/* merge: isGone[3] = 1(12, 4, 12) */
		reached[0][4] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.isGone[3]);
		now.isGone[3] = 1;
#ifdef VAR_RANGES
		logval("isGone[3]", ((int)now.isGone[3]));
#endif
		;
		/* merge: i = 0(12, 5, 12) */
		reached[0][5] = 1;
		(trpt+1)->bup.ovals[4] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("System:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 13, 12) */
		reached[0][13] = 1;
		;
		_m = 3; goto P999; /* 5 */
	case 4: // STATE 6 - m.pml:188 - [((i<4))] (12:0:3 - 1)
		IfNotBlocked
		reached[0][6] = 1;
		if (!((((int)((P0 *)_this)->i)<4)))
			continue;
		/* merge: votedFor[i] = 4(12, 7, 12) */
		reached[0][7] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.votedFor[ Index(((int)((P0 *)_this)->i), 4) ]);
		now.votedFor[ Index(((P0 *)_this)->i, 4) ] = 4;
#ifdef VAR_RANGES
		logval("votedFor[System:i]", ((int)now.votedFor[ Index(((int)((P0 *)_this)->i), 4) ]));
#endif
		;
		/* merge: leaderOf[i] = 4(12, 8, 12) */
		reached[0][8] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.leaderOf[ Index(((int)((P0 *)_this)->i), 4) ]);
		now.leaderOf[ Index(((P0 *)_this)->i, 4) ] = 4;
#ifdef VAR_RANGES
		logval("leaderOf[System:i]", ((int)now.leaderOf[ Index(((int)((P0 *)_this)->i), 4) ]));
#endif
		;
		/* merge: i = (i+1)(12, 9, 12) */
		reached[0][9] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = (((int)((P0 *)_this)->i)+1);
#ifdef VAR_RANGES
		logval("System:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 13, 12) */
		reached[0][13] = 1;
		;
		_m = 3; goto P999; /* 4 */
	case 5: // STATE 15 - m.pml:191 - [i = 0] (0:0:1 - 1)
		IfNotBlocked
		reached[0][15] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("System:i", ((int)((P0 *)_this)->i));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 6: // STATE 17 - m.pml:195 - [i = 0] (0:0:1 - 1)
		IfNotBlocked
		reached[0][17] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("System:i", ((int)((P0 *)_this)->i));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 7: // STATE 18 - m.pml:195 - [i = 1] (0:0:1 - 1)
		IfNotBlocked
		reached[0][18] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 1;
#ifdef VAR_RANGES
		logval("System:i", ((int)((P0 *)_this)->i));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 8: // STATE 19 - m.pml:195 - [i = 2] (0:0:1 - 1)
		IfNotBlocked
		reached[0][19] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 2;
#ifdef VAR_RANGES
		logval("System:i", ((int)((P0 *)_this)->i));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 9: // STATE 20 - m.pml:195 - [i = 3] (0:0:1 - 1)
		IfNotBlocked
		reached[0][20] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 3;
#ifdef VAR_RANGES
		logval("System:i", ((int)((P0 *)_this)->i));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 10: // STATE 23 - m.pml:196 - [j = 0] (0:0:1 - 1)
		IfNotBlocked
		reached[0][23] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->j);
		((P0 *)_this)->j = 0;
#ifdef VAR_RANGES
		logval("System:j", ((int)((P0 *)_this)->j));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 11: // STATE 24 - m.pml:196 - [j = 1] (0:0:1 - 1)
		IfNotBlocked
		reached[0][24] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->j);
		((P0 *)_this)->j = 1;
#ifdef VAR_RANGES
		logval("System:j", ((int)((P0 *)_this)->j));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 12: // STATE 25 - m.pml:196 - [j = 2] (0:0:1 - 1)
		IfNotBlocked
		reached[0][25] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->j);
		((P0 *)_this)->j = 2;
#ifdef VAR_RANGES
		logval("System:j", ((int)((P0 *)_this)->j));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 13: // STATE 26 - m.pml:196 - [j = 3] (0:0:1 - 1)
		IfNotBlocked
		reached[0][26] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->j);
		((P0 *)_this)->j = 3;
#ifdef VAR_RANGES
		logval("System:j", ((int)((P0 *)_this)->j));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 14: // STATE 29 - m.pml:199 - [((((!(isGone[i])&&!(isLeader[i]))&&(term[i]<2))&&(logs[i].config[logs[i].length]&(1<<i))))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][29] = 1;
		if (!(((( !(((int)now.isGone[ Index(((int)((P0 *)_this)->i), 4) ]))&& !(((int)now.isLeader[ Index(((int)((P0 *)_this)->i), 4) ])))&&(((int)now.term[ Index(((int)((P0 *)_this)->i), 4) ])<2))&&(((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].config[ Index(((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length), 4) ])&(1<<((int)((P0 *)_this)->i))))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 15: // STATE 30 - m.pml:67 - [term[i] = (term[i]+1)] (0:207:6 - 1)
		IfNotBlocked
		reached[0][30] = 1;
		(trpt+1)->bup.ovals = grab_ints(6);
		(trpt+1)->bup.ovals[0] = ((int)now.term[ Index(((int)((P0 *)_this)->i), 4) ]);
		now.term[ Index(((P0 *)_this)->i, 4) ] = (((int)now.term[ Index(((int)((P0 *)_this)->i), 4) ])+1);
#ifdef VAR_RANGES
		logval("term[System:i]", ((int)now.term[ Index(((int)((P0 *)_this)->i), 4) ]));
#endif
		;
		/* merge: votedFor[i] = i(207, 31, 207) */
		reached[0][31] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.votedFor[ Index(((int)((P0 *)_this)->i), 4) ]);
		now.votedFor[ Index(((P0 *)_this)->i, 4) ] = ((int)((P0 *)_this)->i);
#ifdef VAR_RANGES
		logval("votedFor[System:i]", ((int)now.votedFor[ Index(((int)((P0 *)_this)->i), 4) ]));
#endif
		;
		/* merge: votes[i] = (1<<i)(207, 32, 207) */
		reached[0][32] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.votes[ Index(((int)((P0 *)_this)->i), 4) ]);
		now.votes[ Index(((P0 *)_this)->i, 4) ] = (1<<((int)((P0 *)_this)->i));
#ifdef VAR_RANGES
		logval("votes[System:i]", ((int)now.votes[ Index(((int)((P0 *)_this)->i), 4) ]));
#endif
		;
		/* merge: isLeader[i] = 0(207, 33, 207) */
		reached[0][33] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.isLeader[ Index(((int)((P0 *)_this)->i), 4) ]);
		now.isLeader[ Index(((P0 *)_this)->i, 4) ] = 0;
#ifdef VAR_RANGES
		logval("isLeader[System:i]", ((int)now.isLeader[ Index(((int)((P0 *)_this)->i), 4) ]));
#endif
		;
		/* merge: .(goto)(207, 203, 207) */
		reached[0][203] = 1;
		;
		/* merge: i = 0(207, 204, 207) */
		reached[0][204] = 1;
		(trpt+1)->bup.ovals[4] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("System:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: j = 0(207, 205, 207) */
		reached[0][205] = 1;
		(trpt+1)->bup.ovals[5] = ((int)((P0 *)_this)->j);
		((P0 *)_this)->j = 0;
#ifdef VAR_RANGES
		logval("System:j", ((int)((P0 *)_this)->j));
#endif
		;
		/* merge: .(goto)(0, 208, 207) */
		reached[0][208] = 1;
		;
		_m = 3; goto P999; /* 7 */
	case 16: // STATE 35 - m.pml:202 - [((((((((!(isGone[i])&&!(isGone[j]))&&(i!=j))&&(votedFor[i]==i))&&!(isLeader[i]))&&(term[i]>=term[j]))&&!((votes[i]&(1<<j))))&&(logs[i].config[logs[i].length]&(1<<j))))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][35] = 1;
		if (!(((((((( !(((int)now.isGone[ Index(((int)((P0 *)_this)->i), 4) ]))&& !(((int)now.isGone[ Index(((int)((P0 *)_this)->j), 4) ])))&&(((int)((P0 *)_this)->i)!=((int)((P0 *)_this)->j)))&&(((int)now.votedFor[ Index(((int)((P0 *)_this)->i), 4) ])==((int)((P0 *)_this)->i)))&& !(((int)now.isLeader[ Index(((int)((P0 *)_this)->i), 4) ])))&&(((int)now.term[ Index(((int)((P0 *)_this)->i), 4) ])>=((int)now.term[ Index(((int)((P0 *)_this)->j), 4) ])))&& !((((int)now.votes[ Index(((int)((P0 *)_this)->i), 4) ])&(1<<((int)((P0 *)_this)->j)))))&&(((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].config[ Index(((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length), 4) ])&(1<<((int)((P0 *)_this)->j))))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 17: // STATE 36 - m.pml:76 - [((term[j]<term[i]))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][36] = 1;
		if (!((((int)now.term[ Index(((int)((P0 *)_this)->j), 4) ])<((int)now.term[ Index(((int)((P0 *)_this)->i), 4) ]))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 18: // STATE 37 - m.pml:51 - [((term[j]<term[i]))] (56:0:4 - 1)
		IfNotBlocked
		reached[0][37] = 1;
		if (!((((int)now.term[ Index(((int)((P0 *)_this)->j), 4) ])<((int)now.term[ Index(((int)((P0 *)_this)->i), 4) ]))))
			continue;
		/* merge: term[j] = term[i](56, 38, 56) */
		reached[0][38] = 1;
		(trpt+1)->bup.ovals = grab_ints(4);
		(trpt+1)->bup.ovals[0] = ((int)now.term[ Index(((int)((P0 *)_this)->j), 4) ]);
		now.term[ Index(((P0 *)_this)->j, 4) ] = ((int)now.term[ Index(((int)((P0 *)_this)->i), 4) ]);
#ifdef VAR_RANGES
		logval("term[System:j]", ((int)now.term[ Index(((int)((P0 *)_this)->j), 4) ]));
#endif
		;
		/* merge: votedFor[j] = 4(56, 39, 56) */
		reached[0][39] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.votedFor[ Index(((int)((P0 *)_this)->j), 4) ]);
		now.votedFor[ Index(((P0 *)_this)->j, 4) ] = 4;
#ifdef VAR_RANGES
		logval("votedFor[System:j]", ((int)now.votedFor[ Index(((int)((P0 *)_this)->j), 4) ]));
#endif
		;
		/* merge: votes[j] = 0(56, 40, 56) */
		reached[0][40] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.votes[ Index(((int)((P0 *)_this)->j), 4) ]);
		now.votes[ Index(((P0 *)_this)->j, 4) ] = 0;
#ifdef VAR_RANGES
		logval("votes[System:j]", ((int)now.votes[ Index(((int)((P0 *)_this)->j), 4) ]));
#endif
		;
		/* merge: isLeader[j] = 0(56, 41, 56) */
		reached[0][41] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.isLeader[ Index(((int)((P0 *)_this)->j), 4) ]);
		now.isLeader[ Index(((P0 *)_this)->j, 4) ] = 0;
#ifdef VAR_RANGES
		logval("isLeader[System:j]", ((int)now.isLeader[ Index(((int)((P0 *)_this)->j), 4) ]));
#endif
		;
		/* merge: .(goto)(0, 44, 56) */
		reached[0][44] = 1;
		;
		/* merge: .(goto)(0, 48, 56) */
		reached[0][48] = 1;
		;
		_m = 3; goto P999; /* 6 */
	case 19: // STATE 49 - m.pml:89 - [((((term[j]==term[i])&&((votedFor[j]==4)||(votedFor[j]==i)))&&((logs[i].term[logs[i].length]>logs[j].term[logs[j].length])||((logs[i].term[logs[i].length]==logs[j].term[logs[j].length])&&(logs[i].length>=logs[j].length)))))] (53:0:1 - 1)
		IfNotBlocked
		reached[0][49] = 1;
		if (!((((((int)now.term[ Index(((int)((P0 *)_this)->j), 4) ])==((int)now.term[ Index(((int)((P0 *)_this)->i), 4) ]))&&((((int)now.votedFor[ Index(((int)((P0 *)_this)->j), 4) ])==4)||(((int)now.votedFor[ Index(((int)((P0 *)_this)->j), 4) ])==((int)((P0 *)_this)->i))))&&((((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].term[ Index(((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length), 4) ])>((int)now.logs[ Index(((int)((P0 *)_this)->j), 4) ].term[ Index(((int)now.logs[ Index(((int)((P0 *)_this)->j), 4) ].length), 4) ]))||((((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].term[ Index(((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length), 4) ])==((int)now.logs[ Index(((int)((P0 *)_this)->j), 4) ].term[ Index(((int)now.logs[ Index(((int)((P0 *)_this)->j), 4) ].length), 4) ]))&&(((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length)>=((int)now.logs[ Index(((int)((P0 *)_this)->j), 4) ].length)))))))
			continue;
		/* merge: votedFor[j] = i(0, 50, 53) */
		reached[0][50] = 1;
		(trpt+1)->bup.oval = ((int)now.votedFor[ Index(((int)((P0 *)_this)->j), 4) ]);
		now.votedFor[ Index(((P0 *)_this)->j, 4) ] = ((int)((P0 *)_this)->i);
#ifdef VAR_RANGES
		logval("votedFor[System:j]", ((int)now.votedFor[ Index(((int)((P0 *)_this)->j), 4) ]));
#endif
		;
		_m = 3; goto P999; /* 1 */
	case 20: // STATE 51 - m.pml:93 - [votes[i] = (votes[i]|(1<<j))] (0:207:3 - 1)
		IfNotBlocked
		reached[0][51] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.votes[ Index(((int)((P0 *)_this)->i), 4) ]);
		now.votes[ Index(((P0 *)_this)->i, 4) ] = (((int)now.votes[ Index(((int)((P0 *)_this)->i), 4) ])|(1<<((int)((P0 *)_this)->j)));
#ifdef VAR_RANGES
		logval("votes[System:i]", ((int)now.votes[ Index(((int)((P0 *)_this)->i), 4) ]));
#endif
		;
		/* merge: .(goto)(207, 54, 207) */
		reached[0][54] = 1;
		;
		/* merge: .(goto)(207, 57, 207) */
		reached[0][57] = 1;
		;
		/* merge: .(goto)(207, 203, 207) */
		reached[0][203] = 1;
		;
		/* merge: i = 0(207, 204, 207) */
		reached[0][204] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("System:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: j = 0(207, 205, 207) */
		reached[0][205] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P0 *)_this)->j);
		((P0 *)_this)->j = 0;
#ifdef VAR_RANGES
		logval("System:j", ((int)((P0 *)_this)->j));
#endif
		;
		/* merge: .(goto)(0, 208, 207) */
		reached[0][208] = 1;
		;
		_m = 3; goto P999; /* 6 */
	case 21: // STATE 52 - m.pml:94 - [(1)] (207:0:2 - 1)
		IfNotBlocked
		reached[0][52] = 1;
		if (!(1))
			continue;
		/* merge: .(goto)(207, 54, 207) */
		reached[0][54] = 1;
		;
		/* merge: .(goto)(207, 57, 207) */
		reached[0][57] = 1;
		;
		/* merge: .(goto)(207, 203, 207) */
		reached[0][203] = 1;
		;
		/* merge: i = 0(207, 204, 207) */
		reached[0][204] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("System:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: j = 0(207, 205, 207) */
		reached[0][205] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P0 *)_this)->j);
		((P0 *)_this)->j = 0;
#ifdef VAR_RANGES
		logval("System:j", ((int)((P0 *)_this)->j));
#endif
		;
		/* merge: .(goto)(0, 208, 207) */
		reached[0][208] = 1;
		;
		_m = 3; goto P999; /* 6 */
	case 22: // STATE 59 - m.pml:205 - [((((((!(isGone[i])&&(votedFor[i]==i))&&!(isLeader[i]))&&(term[i]>0))&&(leaderOf[term[i]]!=i))&&((2*(((((votes[i]&logs[i].config[logs[i].length])&1)+(((votes[i]&logs[i].config[logs[i].length])>>1)&1))+(((votes[i]&logs[i].config[logs[i].length])>>2)&1))+(((votes[i]&logs[i].config[logs[i].length])>>3)&1)))>((((logs[i].config[logs[i].length]&1)+((logs[i].config[logs[i].length]>>1)&1))+((logs[i].config[logs[i].length]>>2)&1))+((logs[i].config[logs[i].length]>>3)&1)))))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][59] = 1;
		if (!(((((( !(((int)now.isGone[ Index(((int)((P0 *)_this)->i), 4) ]))&&(((int)now.votedFor[ Index(((int)((P0 *)_this)->i), 4) ])==((int)((P0 *)_this)->i)))&& !(((int)now.isLeader[ Index(((int)((P0 *)_this)->i), 4) ])))&&(((int)now.term[ Index(((int)((P0 *)_this)->i), 4) ])>0))&&(((int)now.leaderOf[ Index(((int)now.term[ Index(((int)((P0 *)_this)->i), 4) ]), 4) ])!=((int)((P0 *)_this)->i)))&&((2*(((((((int)now.votes[ Index(((int)((P0 *)_this)->i), 4) ])&((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].config[ Index(((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length), 4) ]))&1)+(((((int)now.votes[ Index(((int)((P0 *)_this)->i), 4) ])&((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].config[ Index(((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length), 4) ]))>>1)&1))+(((((int)now.votes[ Index(((int)((P0 *)_this)->i), 4) ])&((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].config[ Index(((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length), 4) ]))>>2)&1))+(((((int)now.votes[ Index(((int)((P0 *)_this)->i), 4) ])&((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].config[ Index(((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length), 4) ]))>>3)&1)))>((((((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].config[ Index(((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length), 4) ])&1)+((((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].config[ Index(((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length), 4) ])>>1)&1))+((((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].config[ Index(((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length), 4) ])>>2)&1))+((((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].config[ Index(((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length), 4) ])>>3)&1))))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 23: // STATE 60 - m.pml:101 - [assert(((leaderOf[term[i]]==4)||(leaderOf[term[i]]==i)))] (0:73:2 - 1)
		IfNotBlocked
		reached[0][60] = 1;
		spin_assert(((((int)now.leaderOf[ Index(((int)now.term[ Index(((int)((P0 *)_this)->i), 4) ]), 4) ])==4)||(((int)now.leaderOf[ Index(((int)now.term[ Index(((int)((P0 *)_this)->i), 4) ]), 4) ])==((int)((P0 *)_this)->i))), "((leaderOf[term[i]]==4)||(leaderOf[term[i]]==i))", II, tt, t);
		/* merge: leaderOf[term[i]] = i(73, 61, 73) */
		reached[0][61] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)now.leaderOf[ Index(((int)now.term[ Index(((int)((P0 *)_this)->i), 4) ]), 4) ]);
		now.leaderOf[ Index(now.term[ Index(((P0 *)_this)->i, 4) ], 4) ] = ((int)((P0 *)_this)->i);
#ifdef VAR_RANGES
		logval("leaderOf[term[System:i]]", ((int)now.leaderOf[ Index(((int)now.term[ Index(((int)((P0 *)_this)->i), 4) ]), 4) ]));
#endif
		;
		/* merge: isLeader[i] = 1(73, 62, 73) */
		reached[0][62] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.isLeader[ Index(((int)((P0 *)_this)->i), 4) ]);
		now.isLeader[ Index(((P0 *)_this)->i, 4) ] = 1;
#ifdef VAR_RANGES
		logval("isLeader[System:i]", ((int)now.isLeader[ Index(((int)((P0 *)_this)->i), 4) ]));
#endif
		;
		_m = 3; goto P999; /* 2 */
	case 24: // STATE 63 - m.pml:58 - [k = 0] (0:0:1 - 1)
		IfNotBlocked
		reached[0][63] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = 0;
#ifdef VAR_RANGES
		logval("System:k", ((int)((P0 *)_this)->k));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 25: // STATE 64 - m.pml:60 - [((k<4))] (69:0:2 - 1)
		IfNotBlocked
		reached[0][64] = 1;
		if (!((((int)((P0 *)_this)->k)<4)))
			continue;
		/* merge: match[((i*4)+k)] = 0(69, 65, 69) */
		reached[0][65] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)now.match[ Index(((((int)((P0 *)_this)->i)*4)+((int)((P0 *)_this)->k)), 16) ]);
		now.match[ Index(((((P0 *)_this)->i*4)+((P0 *)_this)->k), 16) ] = 0;
#ifdef VAR_RANGES
		logval("match[((System:i*4)+System:k)]", ((int)now.match[ Index(((((int)((P0 *)_this)->i)*4)+((int)((P0 *)_this)->k)), 16) ]));
#endif
		;
		/* merge: k = (k+1)(69, 66, 69) */
		reached[0][66] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = (((int)((P0 *)_this)->k)+1);
#ifdef VAR_RANGES
		logval("System:k", ((int)((P0 *)_this)->k));
#endif
		;
		/* merge: .(goto)(0, 70, 69) */
		reached[0][70] = 1;
		;
		_m = 3; goto P999; /* 3 */
	case 26: // STATE 72 - m.pml:63 - [k = 0] (0:82:3 - 3)
		IfNotBlocked
		reached[0][72] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = 0;
#ifdef VAR_RANGES
		logval("System:k", ((int)((P0 *)_this)->k));
#endif
		;
		/* merge: match[((i*4)+i)] = logs[i].length(82, 74, 82) */
		reached[0][74] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.match[ Index(((((int)((P0 *)_this)->i)*4)+((int)((P0 *)_this)->i)), 16) ]);
		now.match[ Index(((((P0 *)_this)->i*4)+((P0 *)_this)->i), 16) ] = ((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length);
#ifdef VAR_RANGES
		logval("match[((System:i*4)+System:i)]", ((int)now.match[ Index(((((int)((P0 *)_this)->i)*4)+((int)((P0 *)_this)->i)), 16) ]));
#endif
		;
		/* merge: assert((logs[i].length>=done))(82, 75, 82) */
		reached[0][75] = 1;
		spin_assert((((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length)>=((int)now.done)), "(logs[i].length>=done)", II, tt, t);
		/* merge: k = 1(82, 76, 82) */
		reached[0][76] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = 1;
#ifdef VAR_RANGES
		logval("System:k", ((int)((P0 *)_this)->k));
#endif
		;
		/* merge: .(goto)(0, 83, 82) */
		reached[0][83] = 1;
		;
		_m = 3; goto P999; /* 4 */
	case 27: // STATE 77 - m.pml:109 - [((k<=done))] (82:0:1 - 1)
		IfNotBlocked
		reached[0][77] = 1;
		if (!((((int)((P0 *)_this)->k)<=((int)now.done))))
			continue;
		/* merge: assert(((logs[i].term[k]==doneTerm[k])&&(logs[i].config[k]==doneConfig[k])))(82, 78, 82) */
		reached[0][78] = 1;
		spin_assert(((((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].term[ Index(((int)((P0 *)_this)->k), 4) ])==((int)now.doneTerm[ Index(((int)((P0 *)_this)->k), 4) ]))&&(((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].config[ Index(((int)((P0 *)_this)->k), 4) ])==((int)now.doneConfig[ Index(((int)((P0 *)_this)->k), 4) ]))), "((logs[i].term[k]==doneTerm[k])&&(logs[i].config[k]==doneConfig[k]))", II, tt, t);
		/* merge: k = (k+1)(82, 79, 82) */
		reached[0][79] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = (((int)((P0 *)_this)->k)+1);
#ifdef VAR_RANGES
		logval("System:k", ((int)((P0 *)_this)->k));
#endif
		;
		/* merge: .(goto)(0, 83, 82) */
		reached[0][83] = 1;
		;
		_m = 3; goto P999; /* 3 */
	case 28: // STATE 85 - m.pml:114 - [k = 0] (0:207:3 - 3)
		IfNotBlocked
		reached[0][85] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = 0;
#ifdef VAR_RANGES
		logval("System:k", ((int)((P0 *)_this)->k));
#endif
		;
		/* merge: .(goto)(207, 203, 207) */
		reached[0][203] = 1;
		;
		/* merge: i = 0(207, 204, 207) */
		reached[0][204] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("System:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: j = 0(207, 205, 207) */
		reached[0][205] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P0 *)_this)->j);
		((P0 *)_this)->j = 0;
#ifdef VAR_RANGES
		logval("System:j", ((int)((P0 *)_this)->j));
#endif
		;
		/* merge: .(goto)(0, 208, 207) */
		reached[0][208] = 1;
		;
		_m = 3; goto P999; /* 4 */
	case 29: // STATE 87 - m.pml:206 - [((isLeader[i]&&(logs[i].length<3)))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][87] = 1;
		if (!((((int)now.isLeader[ Index(((int)((P0 *)_this)->i), 4) ])&&(((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length)<3))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 30: // STATE 88 - m.pml:118 - [k = logs[i].config[logs[i].length]] (0:207:8 - 1)
		IfNotBlocked
		reached[0][88] = 1;
		(trpt+1)->bup.ovals = grab_ints(8);
		(trpt+1)->bup.ovals[0] = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = ((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].config[ Index(((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length), 4) ]);
#ifdef VAR_RANGES
		logval("System:k", ((int)((P0 *)_this)->k));
#endif
		;
		/* merge: logs[i].length = (logs[i].length+1)(207, 89, 207) */
		reached[0][89] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length);
		now.logs[ Index(((P0 *)_this)->i, 4) ].length = (((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length)+1);
#ifdef VAR_RANGES
		logval("logs[System:i].length", ((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length));
#endif
		;
		/* merge: logs[i].term[logs[i].length] = term[i](207, 90, 207) */
		reached[0][90] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].term[ Index(((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length), 4) ]);
		now.logs[ Index(((P0 *)_this)->i, 4) ].term[ Index(now.logs[ Index(((P0 *)_this)->i, 4) ].length, 4) ] = ((int)now.term[ Index(((int)((P0 *)_this)->i), 4) ]);
#ifdef VAR_RANGES
		logval("logs[System:i].term[logs[System:i].length]", ((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].term[ Index(((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length), 4) ]));
#endif
		;
		/* merge: logs[i].config[logs[i].length] = k(207, 91, 207) */
		reached[0][91] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].config[ Index(((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length), 4) ]);
		now.logs[ Index(((P0 *)_this)->i, 4) ].config[ Index(now.logs[ Index(((P0 *)_this)->i, 4) ].length, 4) ] = ((int)((P0 *)_this)->k);
#ifdef VAR_RANGES
		logval("logs[System:i].config[logs[System:i].length]", ((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].config[ Index(((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length), 4) ]));
#endif
		;
		/* merge: k = 0(207, 92, 207) */
		reached[0][92] = 1;
		(trpt+1)->bup.ovals[4] = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = 0;
#ifdef VAR_RANGES
		logval("System:k", ((int)((P0 *)_this)->k));
#endif
		;
		/* merge: match[((i*4)+i)] = logs[i].length(207, 93, 207) */
		reached[0][93] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.match[ Index(((((int)((P0 *)_this)->i)*4)+((int)((P0 *)_this)->i)), 16) ]);
		now.match[ Index(((((P0 *)_this)->i*4)+((P0 *)_this)->i), 16) ] = ((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length);
#ifdef VAR_RANGES
		logval("match[((System:i*4)+System:i)]", ((int)now.match[ Index(((((int)((P0 *)_this)->i)*4)+((int)((P0 *)_this)->i)), 16) ]));
#endif
		;
		/* merge: .(goto)(207, 203, 207) */
		reached[0][203] = 1;
		;
		/* merge: i = 0(207, 204, 207) */
		reached[0][204] = 1;
		(trpt+1)->bup.ovals[6] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("System:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: j = 0(207, 205, 207) */
		reached[0][205] = 1;
		(trpt+1)->bup.ovals[7] = ((int)((P0 *)_this)->j);
		((P0 *)_this)->j = 0;
#ifdef VAR_RANGES
		logval("System:j", ((int)((P0 *)_this)->j));
#endif
		;
		/* merge: .(goto)(0, 208, 207) */
		reached[0][208] = 1;
		;
		_m = 3; goto P999; /* 9 */
	case 31: // STATE 95 - m.pml:212 - [(((((isLeader[i]&&(logs[i].length<3))&&isLost)&&((commit[i]==logs[i].length)&&(logs[i].term[commit[i]]==term[i])))&&(logs[i].config[logs[i].length]==7)))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][95] = 1;
		if (!(((((((int)now.isLeader[ Index(((int)((P0 *)_this)->i), 4) ])&&(((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length)<3))&&((int)now.isLost))&&((((int)now.commit[ Index(((int)((P0 *)_this)->i), 4) ])==((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length))&&(((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].term[ Index(((int)now.commit[ Index(((int)((P0 *)_this)->i), 4) ]), 4) ])==((int)now.term[ Index(((int)((P0 *)_this)->i), 4) ]))))&&(((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].config[ Index(((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length), 4) ])==7))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 32: // STATE 96 - m.pml:118 - [k = 3] (0:207:8 - 1)
		IfNotBlocked
		reached[0][96] = 1;
		(trpt+1)->bup.ovals = grab_ints(8);
		(trpt+1)->bup.ovals[0] = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = 3;
#ifdef VAR_RANGES
		logval("System:k", ((int)((P0 *)_this)->k));
#endif
		;
		/* merge: logs[i].length = (logs[i].length+1)(207, 97, 207) */
		reached[0][97] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length);
		now.logs[ Index(((P0 *)_this)->i, 4) ].length = (((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length)+1);
#ifdef VAR_RANGES
		logval("logs[System:i].length", ((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length));
#endif
		;
		/* merge: logs[i].term[logs[i].length] = term[i](207, 98, 207) */
		reached[0][98] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].term[ Index(((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length), 4) ]);
		now.logs[ Index(((P0 *)_this)->i, 4) ].term[ Index(now.logs[ Index(((P0 *)_this)->i, 4) ].length, 4) ] = ((int)now.term[ Index(((int)((P0 *)_this)->i), 4) ]);
#ifdef VAR_RANGES
		logval("logs[System:i].term[logs[System:i].length]", ((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].term[ Index(((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length), 4) ]));
#endif
		;
		/* merge: logs[i].config[logs[i].length] = k(207, 99, 207) */
		reached[0][99] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].config[ Index(((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length), 4) ]);
		now.logs[ Index(((P0 *)_this)->i, 4) ].config[ Index(now.logs[ Index(((P0 *)_this)->i, 4) ].length, 4) ] = ((int)((P0 *)_this)->k);
#ifdef VAR_RANGES
		logval("logs[System:i].config[logs[System:i].length]", ((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].config[ Index(((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length), 4) ]));
#endif
		;
		/* merge: k = 0(207, 100, 207) */
		reached[0][100] = 1;
		(trpt+1)->bup.ovals[4] = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = 0;
#ifdef VAR_RANGES
		logval("System:k", ((int)((P0 *)_this)->k));
#endif
		;
		/* merge: match[((i*4)+i)] = logs[i].length(207, 101, 207) */
		reached[0][101] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.match[ Index(((((int)((P0 *)_this)->i)*4)+((int)((P0 *)_this)->i)), 16) ]);
		now.match[ Index(((((P0 *)_this)->i*4)+((P0 *)_this)->i), 16) ] = ((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length);
#ifdef VAR_RANGES
		logval("match[((System:i*4)+System:i)]", ((int)now.match[ Index(((((int)((P0 *)_this)->i)*4)+((int)((P0 *)_this)->i)), 16) ]));
#endif
		;
		/* merge: .(goto)(207, 203, 207) */
		reached[0][203] = 1;
		;
		/* merge: i = 0(207, 204, 207) */
		reached[0][204] = 1;
		(trpt+1)->bup.ovals[6] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("System:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: j = 0(207, 205, 207) */
		reached[0][205] = 1;
		(trpt+1)->bup.ovals[7] = ((int)((P0 *)_this)->j);
		((P0 *)_this)->j = 0;
#ifdef VAR_RANGES
		logval("System:j", ((int)((P0 *)_this)->j));
#endif
		;
		/* merge: .(goto)(0, 208, 207) */
		reached[0][208] = 1;
		;
		_m = 3; goto P999; /* 9 */
	case 33: // STATE 103 - m.pml:214 - [(((((isLeader[i]&&(logs[i].length<3))&&((commit[i]==logs[i].length)&&(logs[i].term[commit[i]]==term[i])))&&(logs[i].config[logs[i].length]==3))&&(match[((i*4)+3)]==logs[i].length)))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][103] = 1;
		if (!(((((((int)now.isLeader[ Index(((int)((P0 *)_this)->i), 4) ])&&(((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length)<3))&&((((int)now.commit[ Index(((int)((P0 *)_this)->i), 4) ])==((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length))&&(((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].term[ Index(((int)now.commit[ Index(((int)((P0 *)_this)->i), 4) ]), 4) ])==((int)now.term[ Index(((int)((P0 *)_this)->i), 4) ]))))&&(((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].config[ Index(((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length), 4) ])==3))&&(((int)now.match[ Index(((((int)((P0 *)_this)->i)*4)+3), 16) ])==((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length)))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 34: // STATE 104 - m.pml:118 - [k = 11] (0:207:8 - 1)
		IfNotBlocked
		reached[0][104] = 1;
		(trpt+1)->bup.ovals = grab_ints(8);
		(trpt+1)->bup.ovals[0] = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = 11;
#ifdef VAR_RANGES
		logval("System:k", ((int)((P0 *)_this)->k));
#endif
		;
		/* merge: logs[i].length = (logs[i].length+1)(207, 105, 207) */
		reached[0][105] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length);
		now.logs[ Index(((P0 *)_this)->i, 4) ].length = (((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length)+1);
#ifdef VAR_RANGES
		logval("logs[System:i].length", ((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length));
#endif
		;
		/* merge: logs[i].term[logs[i].length] = term[i](207, 106, 207) */
		reached[0][106] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].term[ Index(((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length), 4) ]);
		now.logs[ Index(((P0 *)_this)->i, 4) ].term[ Index(now.logs[ Index(((P0 *)_this)->i, 4) ].length, 4) ] = ((int)now.term[ Index(((int)((P0 *)_this)->i), 4) ]);
#ifdef VAR_RANGES
		logval("logs[System:i].term[logs[System:i].length]", ((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].term[ Index(((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length), 4) ]));
#endif
		;
		/* merge: logs[i].config[logs[i].length] = k(207, 107, 207) */
		reached[0][107] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].config[ Index(((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length), 4) ]);
		now.logs[ Index(((P0 *)_this)->i, 4) ].config[ Index(now.logs[ Index(((P0 *)_this)->i, 4) ].length, 4) ] = ((int)((P0 *)_this)->k);
#ifdef VAR_RANGES
		logval("logs[System:i].config[logs[System:i].length]", ((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].config[ Index(((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length), 4) ]));
#endif
		;
		/* merge: k = 0(207, 108, 207) */
		reached[0][108] = 1;
		(trpt+1)->bup.ovals[4] = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = 0;
#ifdef VAR_RANGES
		logval("System:k", ((int)((P0 *)_this)->k));
#endif
		;
		/* merge: match[((i*4)+i)] = logs[i].length(207, 109, 207) */
		reached[0][109] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.match[ Index(((((int)((P0 *)_this)->i)*4)+((int)((P0 *)_this)->i)), 16) ]);
		now.match[ Index(((((P0 *)_this)->i*4)+((P0 *)_this)->i), 16) ] = ((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length);
#ifdef VAR_RANGES
		logval("match[((System:i*4)+System:i)]", ((int)now.match[ Index(((((int)((P0 *)_this)->i)*4)+((int)((P0 *)_this)->i)), 16) ]));
#endif
		;
		/* merge: .(goto)(207, 203, 207) */
		reached[0][203] = 1;
		;
		/* merge: i = 0(207, 204, 207) */
		reached[0][204] = 1;
		(trpt+1)->bup.ovals[6] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("System:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: j = 0(207, 205, 207) */
		reached[0][205] = 1;
		(trpt+1)->bup.ovals[7] = ((int)((P0 *)_this)->j);
		((P0 *)_this)->j = 0;
#ifdef VAR_RANGES
		logval("System:j", ((int)((P0 *)_this)->j));
#endif
		;
		/* merge: .(goto)(0, 208, 207) */
		reached[0][208] = 1;
		;
		_m = 3; goto P999; /* 9 */
	case 35: // STATE 111 - m.pml:218 - [(((((isLeader[i]&&!(isGone[j]))&&(i!=j))&&(term[i]>=term[j]))&&(match[((i*4)+j)]<logs[i].length)))] (145:0:1 - 1)
		IfNotBlocked
		reached[0][111] = 1;
		if (!(((((((int)now.isLeader[ Index(((int)((P0 *)_this)->i), 4) ])&& !(((int)now.isGone[ Index(((int)((P0 *)_this)->j), 4) ])))&&(((int)((P0 *)_this)->i)!=((int)((P0 *)_this)->j)))&&(((int)now.term[ Index(((int)((P0 *)_this)->i), 4) ])>=((int)now.term[ Index(((int)((P0 *)_this)->j), 4) ])))&&(((int)now.match[ Index(((((int)((P0 *)_this)->i)*4)+((int)((P0 *)_this)->j)), 16) ])<((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length)))))
			continue;
		/* merge: n = (match[((i*4)+j)]+1)(0, 112, 145) */
		reached[0][112] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->n);
		((P0 *)_this)->n = (((int)now.match[ Index(((((int)((P0 *)_this)->i)*4)+((int)((P0 *)_this)->j)), 16) ])+1);
#ifdef VAR_RANGES
		logval("System:n", ((int)((P0 *)_this)->n));
#endif
		;
		_m = 3; goto P999; /* 1 */
	case 36: // STATE 113 - m.pml:51 - [((term[j]<term[i]))] (138:0:4 - 1)
		IfNotBlocked
		reached[0][113] = 1;
		if (!((((int)now.term[ Index(((int)((P0 *)_this)->j), 4) ])<((int)now.term[ Index(((int)((P0 *)_this)->i), 4) ]))))
			continue;
		/* merge: term[j] = term[i](138, 114, 138) */
		reached[0][114] = 1;
		(trpt+1)->bup.ovals = grab_ints(4);
		(trpt+1)->bup.ovals[0] = ((int)now.term[ Index(((int)((P0 *)_this)->j), 4) ]);
		now.term[ Index(((P0 *)_this)->j, 4) ] = ((int)now.term[ Index(((int)((P0 *)_this)->i), 4) ]);
#ifdef VAR_RANGES
		logval("term[System:j]", ((int)now.term[ Index(((int)((P0 *)_this)->j), 4) ]));
#endif
		;
		/* merge: votedFor[j] = 4(138, 115, 138) */
		reached[0][115] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.votedFor[ Index(((int)((P0 *)_this)->j), 4) ]);
		now.votedFor[ Index(((P0 *)_this)->j, 4) ] = 4;
#ifdef VAR_RANGES
		logval("votedFor[System:j]", ((int)now.votedFor[ Index(((int)((P0 *)_this)->j), 4) ]));
#endif
		;
		/* merge: votes[j] = 0(138, 116, 138) */
		reached[0][116] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.votes[ Index(((int)((P0 *)_this)->j), 4) ]);
		now.votes[ Index(((P0 *)_this)->j, 4) ] = 0;
#ifdef VAR_RANGES
		logval("votes[System:j]", ((int)now.votes[ Index(((int)((P0 *)_this)->j), 4) ]));
#endif
		;
		/* merge: isLeader[j] = 0(138, 117, 138) */
		reached[0][117] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.isLeader[ Index(((int)((P0 *)_this)->j), 4) ]);
		now.isLeader[ Index(((P0 *)_this)->j, 4) ] = 0;
#ifdef VAR_RANGES
		logval("isLeader[System:j]", ((int)now.isLeader[ Index(((int)((P0 *)_this)->j), 4) ]));
#endif
		;
		/* merge: .(goto)(0, 120, 138) */
		reached[0][120] = 1;
		;
		_m = 3; goto P999; /* 5 */
	case 37: // STATE 122 - m.pml:131 - [(((logs[j].length>=n)&&(logs[j].term[n]==logs[i].term[n])))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][122] = 1;
		if (!(((((int)now.logs[ Index(((int)((P0 *)_this)->j), 4) ].length)>=((int)((P0 *)_this)->n))&&(((int)now.logs[ Index(((int)((P0 *)_this)->j), 4) ].term[ Index(((int)((P0 *)_this)->n), 4) ])==((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].term[ Index(((int)((P0 *)_this)->n), 4) ])))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 38: // STATE 124 - m.pml:133 - [k = (n+1)] (0:0:1 - 1)
		IfNotBlocked
		reached[0][124] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = (((int)((P0 *)_this)->n)+1);
#ifdef VAR_RANGES
		logval("System:k", ((int)((P0 *)_this)->k));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 39: // STATE 125 - m.pml:135 - [((k<=3))] (131:0:3 - 1)
		IfNotBlocked
		reached[0][125] = 1;
		if (!((((int)((P0 *)_this)->k)<=3)))
			continue;
		/* merge: logs[j].term[k] = 0(131, 126, 131) */
		reached[0][126] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.logs[ Index(((int)((P0 *)_this)->j), 4) ].term[ Index(((int)((P0 *)_this)->k), 4) ]);
		now.logs[ Index(((P0 *)_this)->j, 4) ].term[ Index(((P0 *)_this)->k, 4) ] = 0;
#ifdef VAR_RANGES
		logval("logs[System:j].term[System:k]", ((int)now.logs[ Index(((int)((P0 *)_this)->j), 4) ].term[ Index(((int)((P0 *)_this)->k), 4) ]));
#endif
		;
		/* merge: logs[j].config[k] = 0(131, 127, 131) */
		reached[0][127] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.logs[ Index(((int)((P0 *)_this)->j), 4) ].config[ Index(((int)((P0 *)_this)->k), 4) ]);
		now.logs[ Index(((P0 *)_this)->j, 4) ].config[ Index(((P0 *)_this)->k, 4) ] = 0;
#ifdef VAR_RANGES
		logval("logs[System:j].config[System:k]", ((int)now.logs[ Index(((int)((P0 *)_this)->j), 4) ].config[ Index(((int)((P0 *)_this)->k), 4) ]));
#endif
		;
		/* merge: k = (k+1)(131, 128, 131) */
		reached[0][128] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = (((int)((P0 *)_this)->k)+1);
#ifdef VAR_RANGES
		logval("System:k", ((int)((P0 *)_this)->k));
#endif
		;
		/* merge: .(goto)(0, 132, 131) */
		reached[0][132] = 1;
		;
		_m = 3; goto P999; /* 4 */
	case 40: // STATE 134 - m.pml:138 - [k = 0] (0:143:4 - 3)
		IfNotBlocked
		reached[0][134] = 1;
		(trpt+1)->bup.ovals = grab_ints(4);
		(trpt+1)->bup.ovals[0] = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = 0;
#ifdef VAR_RANGES
		logval("System:k", ((int)((P0 *)_this)->k));
#endif
		;
		/* merge: logs[j].length = n(143, 135, 143) */
		reached[0][135] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.logs[ Index(((int)((P0 *)_this)->j), 4) ].length);
		now.logs[ Index(((P0 *)_this)->j, 4) ].length = ((int)((P0 *)_this)->n);
#ifdef VAR_RANGES
		logval("logs[System:j].length", ((int)now.logs[ Index(((int)((P0 *)_this)->j), 4) ].length));
#endif
		;
		/* merge: logs[j].term[n] = logs[i].term[n](143, 136, 143) */
		reached[0][136] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.logs[ Index(((int)((P0 *)_this)->j), 4) ].term[ Index(((int)((P0 *)_this)->n), 4) ]);
		now.logs[ Index(((P0 *)_this)->j, 4) ].term[ Index(((P0 *)_this)->n, 4) ] = ((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].term[ Index(((int)((P0 *)_this)->n), 4) ]);
#ifdef VAR_RANGES
		logval("logs[System:j].term[System:n]", ((int)now.logs[ Index(((int)((P0 *)_this)->j), 4) ].term[ Index(((int)((P0 *)_this)->n), 4) ]));
#endif
		;
		/* merge: logs[j].config[n] = logs[i].config[n](143, 137, 143) */
		reached[0][137] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.logs[ Index(((int)((P0 *)_this)->j), 4) ].config[ Index(((int)((P0 *)_this)->n), 4) ]);
		now.logs[ Index(((P0 *)_this)->j, 4) ].config[ Index(((P0 *)_this)->n, 4) ] = ((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].config[ Index(((int)((P0 *)_this)->n), 4) ]);
#ifdef VAR_RANGES
		logval("logs[System:j].config[System:n]", ((int)now.logs[ Index(((int)((P0 *)_this)->j), 4) ].config[ Index(((int)((P0 *)_this)->n), 4) ]));
#endif
		;
		/* merge: .(goto)(0, 139, 143) */
		reached[0][139] = 1;
		;
		_m = 3; goto P999; /* 4 */
	case 41: // STATE 140 - m.pml:144 - [((match[((i*4)+j)]<n))] (207:0:4 - 1)
		IfNotBlocked
		reached[0][140] = 1;
		if (!((((int)now.match[ Index(((((int)((P0 *)_this)->i)*4)+((int)((P0 *)_this)->j)), 16) ])<((int)((P0 *)_this)->n))))
			continue;
		/* merge: match[((i*4)+j)] = n(207, 141, 207) */
		reached[0][141] = 1;
		(trpt+1)->bup.ovals = grab_ints(4);
		(trpt+1)->bup.ovals[0] = ((int)now.match[ Index(((((int)((P0 *)_this)->i)*4)+((int)((P0 *)_this)->j)), 16) ]);
		now.match[ Index(((((P0 *)_this)->i*4)+((P0 *)_this)->j), 16) ] = ((int)((P0 *)_this)->n);
#ifdef VAR_RANGES
		logval("match[((System:i*4)+System:j)]", ((int)now.match[ Index(((((int)((P0 *)_this)->i)*4)+((int)((P0 *)_this)->j)), 16) ]));
#endif
		;
		/* merge: .(goto)(207, 144, 207) */
		reached[0][144] = 1;
		;
		/* merge: n = 0(207, 146, 207) */
		reached[0][146] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P0 *)_this)->n);
		((P0 *)_this)->n = 0;
#ifdef VAR_RANGES
		logval("System:n", ((int)((P0 *)_this)->n));
#endif
		;
		/* merge: .(goto)(207, 203, 207) */
		reached[0][203] = 1;
		;
		/* merge: i = 0(207, 204, 207) */
		reached[0][204] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("System:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: j = 0(207, 205, 207) */
		reached[0][205] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P0 *)_this)->j);
		((P0 *)_this)->j = 0;
#ifdef VAR_RANGES
		logval("System:j", ((int)((P0 *)_this)->j));
#endif
		;
		/* merge: .(goto)(0, 208, 207) */
		reached[0][208] = 1;
		;
		_m = 3; goto P999; /* 7 */
	case 42: // STATE 142 - m.pml:145 - [(1)] (207:0:3 - 1)
		IfNotBlocked
		reached[0][142] = 1;
		if (!(1))
			continue;
		/* merge: .(goto)(207, 144, 207) */
		reached[0][144] = 1;
		;
		/* merge: n = 0(207, 146, 207) */
		reached[0][146] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)((P0 *)_this)->n);
		((P0 *)_this)->n = 0;
#ifdef VAR_RANGES
		logval("System:n", ((int)((P0 *)_this)->n));
#endif
		;
		/* merge: .(goto)(207, 203, 207) */
		reached[0][203] = 1;
		;
		/* merge: i = 0(207, 204, 207) */
		reached[0][204] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("System:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: j = 0(207, 205, 207) */
		reached[0][205] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P0 *)_this)->j);
		((P0 *)_this)->j = 0;
#ifdef VAR_RANGES
		logval("System:j", ((int)((P0 *)_this)->j));
#endif
		;
		/* merge: .(goto)(0, 208, 207) */
		reached[0][208] = 1;
		;
		_m = 3; goto P999; /* 6 */
	case 43: // STATE 146 - m.pml:221 - [n = 0] (0:207:3 - 3)
		IfNotBlocked
		reached[0][146] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)((P0 *)_this)->n);
		((P0 *)_this)->n = 0;
#ifdef VAR_RANGES
		logval("System:n", ((int)((P0 *)_this)->n));
#endif
		;
		/* merge: .(goto)(207, 203, 207) */
		reached[0][203] = 1;
		;
		/* merge: i = 0(207, 204, 207) */
		reached[0][204] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("System:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: j = 0(207, 205, 207) */
		reached[0][205] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P0 *)_this)->j);
		((P0 *)_this)->j = 0;
#ifdef VAR_RANGES
		logval("System:j", ((int)((P0 *)_this)->j));
#endif
		;
		/* merge: .(goto)(0, 208, 207) */
		reached[0][208] = 1;
		;
		_m = 3; goto P999; /* 4 */
	case 44: // STATE 147 - m.pml:222 - [((isLeader[i]&&(commit[i]<logs[i].length)))] (152:0:1 - 1)
		IfNotBlocked
		reached[0][147] = 1;
		if (!((((int)now.isLeader[ Index(((int)((P0 *)_this)->i), 4) ])&&(((int)now.commit[ Index(((int)((P0 *)_this)->i), 4) ])<((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length)))))
			continue;
		/* merge: n = (commit[i]+1)(0, 148, 152) */
		reached[0][148] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->n);
		((P0 *)_this)->n = (((int)now.commit[ Index(((int)((P0 *)_this)->i), 4) ])+1);
#ifdef VAR_RANGES
		logval("System:n", ((int)((P0 *)_this)->n));
#endif
		;
		/* merge: .(goto)(0, 153, 152) */
		reached[0][153] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 45: // STATE 149 - m.pml:225 - [((n<logs[i].length))] (152:0:1 - 1)
		IfNotBlocked
		reached[0][149] = 1;
		if (!((((int)((P0 *)_this)->n)<((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length))))
			continue;
		/* merge: n = (n+1)(0, 150, 152) */
		reached[0][150] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->n);
		((P0 *)_this)->n = (((int)((P0 *)_this)->n)+1);
#ifdef VAR_RANGES
		logval("System:n", ((int)((P0 *)_this)->n));
#endif
		;
		/* merge: .(goto)(0, 153, 152) */
		reached[0][153] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 46: // STATE 155 - m.pml:232 - [(((logs[i].term[n]==term[i])&&((2*(((((((((match[(i*4)]>=n)+(2*(match[((i*4)+1)]>=n)))+(4*(match[((i*4)+2)]>=n)))+(8*(match[((i*4)+3)]>=n)))&logs[i].config[logs[i].length])&1)+(((((((match[(i*4)]>=n)+(2*(match[((i*4)+1)]>=n)))+(4*(match[((i*4)+2)]>=n)))+(8*(match[((i*4)+3)]>=n)))&logs[i].config[logs[i].length])>>1)&1))+(((((((match[(i*4)]>=n)+(2*(match[((i*4)+1)]>=n)))+(4*(match[((i*4)+2)]>=n)))+(8*(match[((i*4)+3)]>=n)))&logs[i].config[logs[i].length])>>2)&1))+(((((((match[(i*4)]>=n)+(2*(match[((i*4)+1)]>=n)))+(4*(match[((i*4)+2)]>=n)))+(8*(match[((i*4)+3)]>=n)))&logs[i].config[logs[i].length])>>3)&1)))>((((logs[i].config[logs[i].length]&1)+((logs[i].config[logs[i].length]>>1)&1))+((logs[i].config[logs[i].length]>>2)&1))+((logs[i].config[logs[i].length]>>3)&1)))))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][155] = 1;
		if (!(((((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].term[ Index(((int)((P0 *)_this)->n), 4) ])==((int)now.term[ Index(((int)((P0 *)_this)->i), 4) ]))&&((2*(((((((((((int)now.match[ Index((((int)((P0 *)_this)->i)*4), 16) ])>=((int)((P0 *)_this)->n))+(2*(((int)now.match[ Index(((((int)((P0 *)_this)->i)*4)+1), 16) ])>=((int)((P0 *)_this)->n))))+(4*(((int)now.match[ Index(((((int)((P0 *)_this)->i)*4)+2), 16) ])>=((int)((P0 *)_this)->n))))+(8*(((int)now.match[ Index(((((int)((P0 *)_this)->i)*4)+3), 16) ])>=((int)((P0 *)_this)->n))))&((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].config[ Index(((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length), 4) ]))&1)+(((((((((int)now.match[ Index((((int)((P0 *)_this)->i)*4), 16) ])>=((int)((P0 *)_this)->n))+(2*(((int)now.match[ Index(((((int)((P0 *)_this)->i)*4)+1), 16) ])>=((int)((P0 *)_this)->n))))+(4*(((int)now.match[ Index(((((int)((P0 *)_this)->i)*4)+2), 16) ])>=((int)((P0 *)_this)->n))))+(8*(((int)now.match[ Index(((((int)((P0 *)_this)->i)*4)+3), 16) ])>=((int)((P0 *)_this)->n))))&((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].config[ Index(((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length), 4) ]))>>1)&1))+(((((((((int)now.match[ Index((((int)((P0 *)_this)->i)*4), 16) ])>=((int)((P0 *)_this)->n))+(2*(((int)now.match[ Index(((((int)((P0 *)_this)->i)*4)+1), 16) ])>=((int)((P0 *)_this)->n))))+(4*(((int)now.match[ Index(((((int)((P0 *)_this)->i)*4)+2), 16) ])>=((int)((P0 *)_this)->n))))+(8*(((int)now.match[ Index(((((int)((P0 *)_this)->i)*4)+3), 16) ])>=((int)((P0 *)_this)->n))))&((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].config[ Index(((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length), 4) ]))>>2)&1))+(((((((((int)now.match[ Index((((int)((P0 *)_this)->i)*4), 16) ])>=((int)((P0 *)_this)->n))+(2*(((int)now.match[ Index(((((int)((P0 *)_this)->i)*4)+1), 16) ])>=((int)((P0 *)_this)->n))))+(4*(((int)now.match[ Index(((((int)((P0 *)_this)->i)*4)+2), 16) ])>=((int)((P0 *)_this)->n))))+(8*(((int)now.match[ Index(((((int)((P0 *)_this)->i)*4)+3), 16) ])>=((int)((P0 *)_this)->n))))&((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].config[ Index(((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length), 4) ]))>>3)&1)))>((((((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].config[ Index(((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length), 4) ])&1)+((((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].config[ Index(((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length), 4) ])>>1)&1))+((((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].config[ Index(((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length), 4) ])>>2)&1))+((((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].config[ Index(((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].length), 4) ])>>3)&1))))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 47: // STATE 156 - m.pml:153 - [commit[i] = n] (0:170:2 - 1)
		IfNotBlocked
		reached[0][156] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)now.commit[ Index(((int)((P0 *)_this)->i), 4) ]);
		now.commit[ Index(((P0 *)_this)->i, 4) ] = ((int)((P0 *)_this)->n);
#ifdef VAR_RANGES
		logval("commit[System:i]", ((int)now.commit[ Index(((int)((P0 *)_this)->i), 4) ]));
#endif
		;
		/* merge: k = 1(170, 157, 170) */
		reached[0][157] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = 1;
#ifdef VAR_RANGES
		logval("System:k", ((int)((P0 *)_this)->k));
#endif
		;
		/* merge: .(goto)(0, 171, 170) */
		reached[0][171] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 48: // STATE 158 - m.pml:156 - [((k<=n))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][158] = 1;
		if (!((((int)((P0 *)_this)->k)<=((int)((P0 *)_this)->n))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 49: // STATE 159 - m.pml:158 - [((k<=done))] (170:0:1 - 1)
		IfNotBlocked
		reached[0][159] = 1;
		if (!((((int)((P0 *)_this)->k)<=((int)now.done))))
			continue;
		/* merge: assert(((doneTerm[k]==logs[i].term[k])&&(doneConfig[k]==logs[i].config[k])))(170, 160, 170) */
		reached[0][160] = 1;
		spin_assert(((((int)now.doneTerm[ Index(((int)((P0 *)_this)->k), 4) ])==((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].term[ Index(((int)((P0 *)_this)->k), 4) ]))&&(((int)now.doneConfig[ Index(((int)((P0 *)_this)->k), 4) ])==((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].config[ Index(((int)((P0 *)_this)->k), 4) ]))), "((doneTerm[k]==logs[i].term[k])&&(doneConfig[k]==logs[i].config[k]))", II, tt, t);
		/* merge: .(goto)(170, 166, 170) */
		reached[0][166] = 1;
		;
		/* merge: k = (k+1)(170, 167, 170) */
		reached[0][167] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = (((int)((P0 *)_this)->k)+1);
#ifdef VAR_RANGES
		logval("System:k", ((int)((P0 *)_this)->k));
#endif
		;
		/* merge: .(goto)(0, 171, 170) */
		reached[0][171] = 1;
		;
		_m = 3; goto P999; /* 4 */
	case 50: // STATE 162 - m.pml:162 - [doneTerm[k] = logs[i].term[k]] (0:170:4 - 1)
		IfNotBlocked
		reached[0][162] = 1;
		(trpt+1)->bup.ovals = grab_ints(4);
		(trpt+1)->bup.ovals[0] = ((int)now.doneTerm[ Index(((int)((P0 *)_this)->k), 4) ]);
		now.doneTerm[ Index(((P0 *)_this)->k, 4) ] = ((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].term[ Index(((int)((P0 *)_this)->k), 4) ]);
#ifdef VAR_RANGES
		logval("doneTerm[System:k]", ((int)now.doneTerm[ Index(((int)((P0 *)_this)->k), 4) ]));
#endif
		;
		/* merge: doneConfig[k] = logs[i].config[k](170, 163, 170) */
		reached[0][163] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.doneConfig[ Index(((int)((P0 *)_this)->k), 4) ]);
		now.doneConfig[ Index(((P0 *)_this)->k, 4) ] = ((int)now.logs[ Index(((int)((P0 *)_this)->i), 4) ].config[ Index(((int)((P0 *)_this)->k), 4) ]);
#ifdef VAR_RANGES
		logval("doneConfig[System:k]", ((int)now.doneConfig[ Index(((int)((P0 *)_this)->k), 4) ]));
#endif
		;
		/* merge: done = k(170, 164, 170) */
		reached[0][164] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.done);
		now.done = ((int)((P0 *)_this)->k);
#ifdef VAR_RANGES
		logval("done", ((int)now.done));
#endif
		;
		/* merge: .(goto)(170, 166, 170) */
		reached[0][166] = 1;
		;
		/* merge: k = (k+1)(170, 167, 170) */
		reached[0][167] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = (((int)((P0 *)_this)->k)+1);
#ifdef VAR_RANGES
		logval("System:k", ((int)((P0 *)_this)->k));
#endif
		;
		/* merge: .(goto)(0, 171, 170) */
		reached[0][171] = 1;
		;
		_m = 3; goto P999; /* 5 */
	case 51: // STATE 167 - m.pml:166 - [k = (k+1)] (0:170:1 - 3)
		IfNotBlocked
		reached[0][167] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = (((int)((P0 *)_this)->k)+1);
#ifdef VAR_RANGES
		logval("System:k", ((int)((P0 *)_this)->k));
#endif
		;
		/* merge: .(goto)(0, 171, 170) */
		reached[0][171] = 1;
		;
		_m = 3; goto P999; /* 1 */
	case 52: // STATE 173 - m.pml:169 - [k = 0] (0:207:4 - 3)
		IfNotBlocked
		reached[0][173] = 1;
		(trpt+1)->bup.ovals = grab_ints(4);
		(trpt+1)->bup.ovals[0] = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = 0;
#ifdef VAR_RANGES
		logval("System:k", ((int)((P0 *)_this)->k));
#endif
		;
		/* merge: .(goto)(207, 177, 207) */
		reached[0][177] = 1;
		;
		/* merge: n = 0(207, 178, 207) */
		reached[0][178] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P0 *)_this)->n);
		((P0 *)_this)->n = 0;
#ifdef VAR_RANGES
		logval("System:n", ((int)((P0 *)_this)->n));
#endif
		;
		/* merge: .(goto)(207, 203, 207) */
		reached[0][203] = 1;
		;
		/* merge: i = 0(207, 204, 207) */
		reached[0][204] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("System:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: j = 0(207, 205, 207) */
		reached[0][205] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P0 *)_this)->j);
		((P0 *)_this)->j = 0;
#ifdef VAR_RANGES
		logval("System:j", ((int)((P0 *)_this)->j));
#endif
		;
		/* merge: .(goto)(0, 208, 207) */
		reached[0][208] = 1;
		;
		_m = 3; goto P999; /* 6 */
	case 53: // STATE 178 - m.pml:237 - [n = 0] (0:207:3 - 3)
		IfNotBlocked
		reached[0][178] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)((P0 *)_this)->n);
		((P0 *)_this)->n = 0;
#ifdef VAR_RANGES
		logval("System:n", ((int)((P0 *)_this)->n));
#endif
		;
		/* merge: .(goto)(207, 203, 207) */
		reached[0][203] = 1;
		;
		/* merge: i = 0(207, 204, 207) */
		reached[0][204] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("System:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: j = 0(207, 205, 207) */
		reached[0][205] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P0 *)_this)->j);
		((P0 *)_this)->j = 0;
#ifdef VAR_RANGES
		logval("System:j", ((int)((P0 *)_this)->j));
#endif
		;
		/* merge: .(goto)(0, 208, 207) */
		reached[0][208] = 1;
		;
		_m = 3; goto P999; /* 4 */
	case 54: // STATE 179 - m.pml:238 - [(((i==2)&&!(isLost)))] (194:0:9 - 1)
		IfNotBlocked
		reached[0][179] = 1;
		if (!(((((int)((P0 *)_this)->i)==2)&& !(((int)now.isLost)))))
			continue;
		if (TstOnly) return 1; /* TT */
		/* dead 1: i */  (trpt+1)->bup.ovals = grab_ints(9);
		(trpt+1)->bup.ovals[0] = ((P0 *)_this)->i;
#ifdef HAS_CODE
		if (!readtrail)
#endif
			((P0 *)_this)->i = 0;
		/* merge: isLost = 1(194, 180, 194) */
		reached[0][180] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.isLost);
		now.isLost = 1;
#ifdef VAR_RANGES
		logval("isLost", ((int)now.isLost));
#endif
		;
		/* merge: isLeader[2] = 0(194, 181, 194) */
		reached[0][181] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.isLeader[2]);
		now.isLeader[2] = 0;
#ifdef VAR_RANGES
		logval("isLeader[2]", ((int)now.isLeader[2]));
#endif
		;
		/* merge: votes[2] = 0(194, 182, 194) */
		reached[0][182] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.votes[2]);
		now.votes[2] = 0;
#ifdef VAR_RANGES
		logval("votes[2]", ((int)now.votes[2]));
#endif
		;
		/* merge: votedFor[2] = 4(194, 183, 194) */
		reached[0][183] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.votedFor[2]);
		now.votedFor[2] = 4;
#ifdef VAR_RANGES
		logval("votedFor[2]", ((int)now.votedFor[2]));
#endif
		;
		/* merge: term[2] = 0(194, 184, 194) */
		reached[0][184] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.term[2]);
		now.term[2] = 0;
#ifdef VAR_RANGES
		logval("term[2]", ((int)now.term[2]));
#endif
		;
		/* merge: commit[2] = 0(194, 185, 194) */
		reached[0][185] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.commit[2]);
		now.commit[2] = 0;
#ifdef VAR_RANGES
		logval("commit[2]", ((int)now.commit[2]));
#endif
		;
		/* merge: logs[2].length = 0(194, 186, 194) */
		reached[0][186] = 1;
		(trpt+1)->bup.ovals[7] = ((int)now.logs[2].length);
		now.logs[2].length = 0;
#ifdef VAR_RANGES
		logval("logs[2].length", ((int)now.logs[2].length));
#endif
		;
		/* merge: k = 1(194, 187, 194) */
		reached[0][187] = 1;
		(trpt+1)->bup.ovals[8] = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = 1;
#ifdef VAR_RANGES
		logval("System:k", ((int)((P0 *)_this)->k));
#endif
		;
		/* merge: .(goto)(0, 195, 194) */
		reached[0][195] = 1;
		;
		_m = 3; goto P999; /* 9 */
	case 55: // STATE 188 - m.pml:245 - [((k<=3))] (194:0:3 - 1)
		IfNotBlocked
		reached[0][188] = 1;
		if (!((((int)((P0 *)_this)->k)<=3)))
			continue;
		/* merge: logs[2].term[k] = 0(194, 189, 194) */
		reached[0][189] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.logs[2].term[ Index(((int)((P0 *)_this)->k), 4) ]);
		now.logs[2].term[ Index(((P0 *)_this)->k, 4) ] = 0;
#ifdef VAR_RANGES
		logval("logs[2].term[System:k]", ((int)now.logs[2].term[ Index(((int)((P0 *)_this)->k), 4) ]));
#endif
		;
		/* merge: logs[2].config[k] = 0(194, 190, 194) */
		reached[0][190] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.logs[2].config[ Index(((int)((P0 *)_this)->k), 4) ]);
		now.logs[2].config[ Index(((P0 *)_this)->k, 4) ] = 0;
#ifdef VAR_RANGES
		logval("logs[2].config[System:k]", ((int)now.logs[2].config[ Index(((int)((P0 *)_this)->k), 4) ]));
#endif
		;
		/* merge: k = (k+1)(194, 191, 194) */
		reached[0][191] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = (((int)((P0 *)_this)->k)+1);
#ifdef VAR_RANGES
		logval("System:k", ((int)((P0 *)_this)->k));
#endif
		;
		/* merge: .(goto)(0, 195, 194) */
		reached[0][195] = 1;
		;
		_m = 3; goto P999; /* 4 */
	case 56: // STATE 197 - m.pml:248 - [k = 0] (0:200:3 - 3)
		IfNotBlocked
		reached[0][197] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = 0;
#ifdef VAR_RANGES
		logval("System:k", ((int)((P0 *)_this)->k));
#endif
		;
		/* merge: isGone[2] = 1(200, 198, 200) */
		reached[0][198] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.isGone[2]);
		now.isGone[2] = 1;
#ifdef VAR_RANGES
		logval("isGone[2]", ((int)now.isGone[2]));
#endif
		;
		/* merge: isGone[3] = 0(200, 199, 200) */
		reached[0][199] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.isGone[3]);
		now.isGone[3] = 0;
#ifdef VAR_RANGES
		logval("isGone[3]", ((int)now.isGone[3]));
#endif
		;
		_m = 3; goto P999; /* 2 */
	case 57: // STATE 200 - m.pml:252 - [(1)] (207:0:2 - 1)
		IfNotBlocked
		reached[0][200] = 1;
		if (!(1))
			continue;
		/* merge: .(goto)(207, 203, 207) */
		reached[0][203] = 1;
		;
		/* merge: i = 0(207, 204, 207) */
		reached[0][204] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("System:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: j = 0(207, 205, 207) */
		reached[0][205] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P0 *)_this)->j);
		((P0 *)_this)->j = 0;
#ifdef VAR_RANGES
		logval("System:j", ((int)((P0 *)_this)->j));
#endif
		;
		/* merge: .(goto)(0, 208, 207) */
		reached[0][208] = 1;
		;
		_m = 3; goto P999; /* 4 */
	case 58: // STATE 204 - m.pml:255 - [i = 0] (0:207:2 - 15)
		IfNotBlocked
		reached[0][204] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("System:i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: j = 0(207, 205, 207) */
		reached[0][205] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P0 *)_this)->j);
		((P0 *)_this)->j = 0;
#ifdef VAR_RANGES
		logval("System:j", ((int)((P0 *)_this)->j));
#endif
		;
		/* merge: .(goto)(0, 208, 207) */
		reached[0][208] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 59: // STATE 210 - m.pml:259 - [-end-] (0:0:0 - 1)
		IfNotBlocked
		reached[0][210] = 1;
		if (!delproc(1, II)) continue;
		_m = 3; goto P999; /* 0 */
	case  _T5:	/* np_ */
		if (!((!(trpt->o_pm&4) && !(trpt->tau&128))))
			continue;
		/* else fall through */
	case  _T2:	/* true */
		_m = 3; goto P999;
#undef rand
	}

