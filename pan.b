	switch (t->back) {
	default: Uerror("bad return move");
	case  0: goto R999; /* nothing to undo */

		 /* PROC System */

	case 3: // STATE 5
		;
		((P0 *)_this)->i = trpt->bup.ovals[4];
		now.isGone[3] = trpt->bup.ovals[3];
		now.logs[2].config[0] = trpt->bup.ovals[2];
		now.logs[1].config[0] = trpt->bup.ovals[1];
		now.logs[0].config[0] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 5);
		goto R999;

	case 4: // STATE 9
		;
		((P0 *)_this)->i = trpt->bup.ovals[2];
		now.leaderOf[ Index(((P0 *)_this)->i, 4) ] = trpt->bup.ovals[1];
		now.votedFor[ Index(((P0 *)_this)->i, 4) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 5: // STATE 15
		;
		((P0 *)_this)->i = trpt->bup.oval;
		;
		goto R999;

	case 6: // STATE 17
		;
		((P0 *)_this)->i = trpt->bup.oval;
		;
		goto R999;

	case 7: // STATE 18
		;
		((P0 *)_this)->i = trpt->bup.oval;
		;
		goto R999;

	case 8: // STATE 19
		;
		((P0 *)_this)->i = trpt->bup.oval;
		;
		goto R999;

	case 9: // STATE 20
		;
		((P0 *)_this)->i = trpt->bup.oval;
		;
		goto R999;

	case 10: // STATE 23
		;
		((P0 *)_this)->j = trpt->bup.oval;
		;
		goto R999;

	case 11: // STATE 24
		;
		((P0 *)_this)->j = trpt->bup.oval;
		;
		goto R999;

	case 12: // STATE 25
		;
		((P0 *)_this)->j = trpt->bup.oval;
		;
		goto R999;

	case 13: // STATE 26
		;
		((P0 *)_this)->j = trpt->bup.oval;
		;
		goto R999;
;
		;
		
	case 15: // STATE 205
		;
		((P0 *)_this)->j = trpt->bup.ovals[5];
		((P0 *)_this)->i = trpt->bup.ovals[4];
		now.isLeader[ Index(((P0 *)_this)->i, 4) ] = trpt->bup.ovals[3];
		now.votes[ Index(((P0 *)_this)->i, 4) ] = trpt->bup.ovals[2];
		now.votedFor[ Index(((P0 *)_this)->i, 4) ] = trpt->bup.ovals[1];
		now.term[ Index(((P0 *)_this)->i, 4) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 6);
		goto R999;
;
		;
		;
		;
		
	case 18: // STATE 41
		;
		now.isLeader[ Index(((P0 *)_this)->j, 4) ] = trpt->bup.ovals[3];
		now.votes[ Index(((P0 *)_this)->j, 4) ] = trpt->bup.ovals[2];
		now.votedFor[ Index(((P0 *)_this)->j, 4) ] = trpt->bup.ovals[1];
		now.term[ Index(((P0 *)_this)->j, 4) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 4);
		goto R999;

	case 19: // STATE 50
		;
		now.votedFor[ Index(((P0 *)_this)->j, 4) ] = trpt->bup.oval;
		;
		goto R999;

	case 20: // STATE 205
		;
		((P0 *)_this)->j = trpt->bup.ovals[2];
		((P0 *)_this)->i = trpt->bup.ovals[1];
		now.votes[ Index(((P0 *)_this)->i, 4) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 21: // STATE 205
		;
		((P0 *)_this)->j = trpt->bup.ovals[1];
		((P0 *)_this)->i = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;
;
		;
		
	case 23: // STATE 62
		;
		now.isLeader[ Index(((P0 *)_this)->i, 4) ] = trpt->bup.ovals[1];
		now.leaderOf[ Index(now.term[ Index(((P0 *)_this)->i, 4) ], 4) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 24: // STATE 63
		;
		((P0 *)_this)->k = trpt->bup.oval;
		;
		goto R999;

	case 25: // STATE 66
		;
		((P0 *)_this)->k = trpt->bup.ovals[1];
		now.match[ Index(((((P0 *)_this)->i*4)+((P0 *)_this)->k), 16) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 26: // STATE 76
		;
		((P0 *)_this)->k = trpt->bup.ovals[2];
		now.match[ Index(((((P0 *)_this)->i*4)+((P0 *)_this)->i), 16) ] = trpt->bup.ovals[1];
		((P0 *)_this)->k = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 27: // STATE 79
		;
		((P0 *)_this)->k = trpt->bup.oval;
		;
		goto R999;

	case 28: // STATE 205
		;
		((P0 *)_this)->j = trpt->bup.ovals[2];
		((P0 *)_this)->i = trpt->bup.ovals[1];
		((P0 *)_this)->k = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;
;
		;
		
	case 30: // STATE 205
		;
		((P0 *)_this)->j = trpt->bup.ovals[7];
		((P0 *)_this)->i = trpt->bup.ovals[6];
		now.match[ Index(((((P0 *)_this)->i*4)+((P0 *)_this)->i), 16) ] = trpt->bup.ovals[5];
		((P0 *)_this)->k = trpt->bup.ovals[4];
		now.logs[ Index(((P0 *)_this)->i, 4) ].config[ Index(now.logs[ Index(((P0 *)_this)->i, 4) ].length, 4) ] = trpt->bup.ovals[3];
		now.logs[ Index(((P0 *)_this)->i, 4) ].term[ Index(now.logs[ Index(((P0 *)_this)->i, 4) ].length, 4) ] = trpt->bup.ovals[2];
		now.logs[ Index(((P0 *)_this)->i, 4) ].length = trpt->bup.ovals[1];
		((P0 *)_this)->k = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 8);
		goto R999;
;
		;
		
	case 32: // STATE 205
		;
		((P0 *)_this)->j = trpt->bup.ovals[7];
		((P0 *)_this)->i = trpt->bup.ovals[6];
		now.match[ Index(((((P0 *)_this)->i*4)+((P0 *)_this)->i), 16) ] = trpt->bup.ovals[5];
		((P0 *)_this)->k = trpt->bup.ovals[4];
		now.logs[ Index(((P0 *)_this)->i, 4) ].config[ Index(now.logs[ Index(((P0 *)_this)->i, 4) ].length, 4) ] = trpt->bup.ovals[3];
		now.logs[ Index(((P0 *)_this)->i, 4) ].term[ Index(now.logs[ Index(((P0 *)_this)->i, 4) ].length, 4) ] = trpt->bup.ovals[2];
		now.logs[ Index(((P0 *)_this)->i, 4) ].length = trpt->bup.ovals[1];
		((P0 *)_this)->k = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 8);
		goto R999;
;
		;
		
	case 34: // STATE 205
		;
		((P0 *)_this)->j = trpt->bup.ovals[7];
		((P0 *)_this)->i = trpt->bup.ovals[6];
		now.match[ Index(((((P0 *)_this)->i*4)+((P0 *)_this)->i), 16) ] = trpt->bup.ovals[5];
		((P0 *)_this)->k = trpt->bup.ovals[4];
		now.logs[ Index(((P0 *)_this)->i, 4) ].config[ Index(now.logs[ Index(((P0 *)_this)->i, 4) ].length, 4) ] = trpt->bup.ovals[3];
		now.logs[ Index(((P0 *)_this)->i, 4) ].term[ Index(now.logs[ Index(((P0 *)_this)->i, 4) ].length, 4) ] = trpt->bup.ovals[2];
		now.logs[ Index(((P0 *)_this)->i, 4) ].length = trpt->bup.ovals[1];
		((P0 *)_this)->k = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 8);
		goto R999;

	case 35: // STATE 112
		;
		((P0 *)_this)->n = trpt->bup.oval;
		;
		goto R999;

	case 36: // STATE 117
		;
		now.isLeader[ Index(((P0 *)_this)->j, 4) ] = trpt->bup.ovals[3];
		now.votes[ Index(((P0 *)_this)->j, 4) ] = trpt->bup.ovals[2];
		now.votedFor[ Index(((P0 *)_this)->j, 4) ] = trpt->bup.ovals[1];
		now.term[ Index(((P0 *)_this)->j, 4) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 4);
		goto R999;
;
		;
		
	case 38: // STATE 124
		;
		((P0 *)_this)->k = trpt->bup.oval;
		;
		goto R999;

	case 39: // STATE 128
		;
		((P0 *)_this)->k = trpt->bup.ovals[2];
		now.logs[ Index(((P0 *)_this)->j, 4) ].config[ Index(((P0 *)_this)->k, 4) ] = trpt->bup.ovals[1];
		now.logs[ Index(((P0 *)_this)->j, 4) ].term[ Index(((P0 *)_this)->k, 4) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 40: // STATE 137
		;
		now.logs[ Index(((P0 *)_this)->j, 4) ].config[ Index(((P0 *)_this)->n, 4) ] = trpt->bup.ovals[3];
		now.logs[ Index(((P0 *)_this)->j, 4) ].term[ Index(((P0 *)_this)->n, 4) ] = trpt->bup.ovals[2];
		now.logs[ Index(((P0 *)_this)->j, 4) ].length = trpt->bup.ovals[1];
		((P0 *)_this)->k = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 4);
		goto R999;

	case 41: // STATE 205
		;
		((P0 *)_this)->j = trpt->bup.ovals[3];
		((P0 *)_this)->i = trpt->bup.ovals[2];
		((P0 *)_this)->n = trpt->bup.ovals[1];
		now.match[ Index(((((P0 *)_this)->i*4)+((P0 *)_this)->j), 16) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 4);
		goto R999;

	case 42: // STATE 205
		;
		((P0 *)_this)->j = trpt->bup.ovals[2];
		((P0 *)_this)->i = trpt->bup.ovals[1];
		((P0 *)_this)->n = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 43: // STATE 205
		;
		((P0 *)_this)->j = trpt->bup.ovals[2];
		((P0 *)_this)->i = trpt->bup.ovals[1];
		((P0 *)_this)->n = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 44: // STATE 148
		;
		((P0 *)_this)->n = trpt->bup.oval;
		;
		goto R999;

	case 45: // STATE 150
		;
		((P0 *)_this)->n = trpt->bup.oval;
		;
		goto R999;
;
		;
		
	case 47: // STATE 157
		;
		((P0 *)_this)->k = trpt->bup.ovals[1];
		now.commit[ Index(((P0 *)_this)->i, 4) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;
;
		;
		
	case 49: // STATE 167
		;
		((P0 *)_this)->k = trpt->bup.oval;
		;
		goto R999;

	case 50: // STATE 167
		;
		((P0 *)_this)->k = trpt->bup.ovals[3];
		now.done = trpt->bup.ovals[2];
		now.doneConfig[ Index(((P0 *)_this)->k, 4) ] = trpt->bup.ovals[1];
		now.doneTerm[ Index(((P0 *)_this)->k, 4) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 4);
		goto R999;

	case 51: // STATE 167
		;
		((P0 *)_this)->k = trpt->bup.oval;
		;
		goto R999;

	case 52: // STATE 205
		;
		((P0 *)_this)->j = trpt->bup.ovals[3];
		((P0 *)_this)->i = trpt->bup.ovals[2];
		((P0 *)_this)->n = trpt->bup.ovals[1];
		((P0 *)_this)->k = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 4);
		goto R999;

	case 53: // STATE 205
		;
		((P0 *)_this)->j = trpt->bup.ovals[2];
		((P0 *)_this)->i = trpt->bup.ovals[1];
		((P0 *)_this)->n = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 54: // STATE 187
		;
		((P0 *)_this)->k = trpt->bup.ovals[8];
		now.logs[2].length = trpt->bup.ovals[7];
		now.commit[2] = trpt->bup.ovals[6];
		now.term[2] = trpt->bup.ovals[5];
		now.votedFor[2] = trpt->bup.ovals[4];
		now.votes[2] = trpt->bup.ovals[3];
		now.isLeader[2] = trpt->bup.ovals[2];
		now.isLost = trpt->bup.ovals[1];
	/* 0 */	((P0 *)_this)->i = trpt->bup.ovals[0];
		;
		;
		ungrab_ints(trpt->bup.ovals, 9);
		goto R999;

	case 55: // STATE 191
		;
		((P0 *)_this)->k = trpt->bup.ovals[2];
		now.logs[2].config[ Index(((P0 *)_this)->k, 4) ] = trpt->bup.ovals[1];
		now.logs[2].term[ Index(((P0 *)_this)->k, 4) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 56: // STATE 199
		;
		now.isGone[3] = trpt->bup.ovals[2];
		now.isGone[2] = trpt->bup.ovals[1];
		((P0 *)_this)->k = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 57: // STATE 205
		;
		((P0 *)_this)->j = trpt->bup.ovals[1];
		((P0 *)_this)->i = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 58: // STATE 205
		;
		((P0 *)_this)->j = trpt->bup.ovals[1];
		((P0 *)_this)->i = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 59: // STATE 210
		;
		p_restor(II);
		;
		;
		goto R999;
	}

