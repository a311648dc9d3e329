/* Checks that one idempotency key has at most one effect, with three homes and one log. A home may
   lose the log's response to its append and append its intent twice, may be paused at any point (all
   interleavings), and may void an intent whose call did not run. With -DBROKEN a home runs its call
   as soon as its append succeeds, without reading the log back; this variant must violate the
   property. */

#define HOMES 3
#define ROOM 10
#define VOID 10 /* The void record of home h is VOID + h. */

byte records[ROOM];
byte used = 0;
byte effects = 0;

inline append(record)
{
  atomic {
    if
    :: used < ROOM -> records[used] = record; used++
    :: else -> goto stop
    fi
  }
}

/* Reads the log in order. The first intent that is not voided owns the key; owner 0 means that the
   key has no owner. */
inline read_owner()
{
  atomic {
    owner = 0; voided = 0; at = 0;
    do
    :: at < used && records[at] >= VOID ->
       voided = voided | (1 << (records[at] - VOID));
       if
       :: owner == records[at] - VOID -> owner = 0
       :: else
       fi;
       at++
    :: at < used && records[at] < VOID ->
       if
       :: owner == 0 && !(voided & (1 << records[at])) -> owner = records[at]
       :: else
       fi;
       at++
    :: at >= used -> break
    od
  }
}

proctype Home(byte me)
{
  byte owner; byte voided; byte at;
  append(me);
  if
  :: append(me) /* The response to the first append was lost. */
  :: skip
  fi;
#ifdef BROKEN
  effects++
#else
  read_owner();
  if
  :: owner == me ->
     if
     :: effects++            /* The call reached the service. */
     :: append(VOID + me)    /* The service was unreachable: the call never runs. */
     fi
  :: else -> skip            /* Another intent owns the key: wait for its result. */
  fi;
#endif
stop:
  skip
}

init
{
  byte home;
  atomic {
    for (home : 1 .. HOMES) {
      run Home(home)
    }
  }
}

ltl once { [] (effects <= 1) }
