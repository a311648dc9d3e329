/* Checks that one idempotency key has at most one effect, with three homes and one log. A home may
   lose the log's response to its append and append its intent twice, may be paused at any point (all
   interleavings), and may void an intent whose call did not run. With -DBROKEN a home runs its call
   as soon as its append succeeds, without reading the log back; this variant must violate the
   property. */

#define HOMES 3
#define LOG_CAPACITY 10
#define VOID 10 /* The void record of home h is VOID + h. */

byte records[LOG_CAPACITY];
byte log_length = 0;
byte effects = 0;

inline append(record)
{
  atomic {
    if
    :: log_length < LOG_CAPACITY -> records[log_length] = record; log_length++
    :: else -> goto stop
    fi
  }
}

/* Reads the log in order. The first intent that is not voided owns the key; owner 0 means that the
   key has no owner. */
inline read_owner()
{
  atomic {
    owner = 0; voided = 0; position = 0;
    do
    :: position < log_length && records[position] >= VOID ->
       voided = voided | (1 << (records[position] - VOID));
       if
       :: owner == records[position] - VOID -> owner = 0
       :: else
       fi;
       position++
    :: position < log_length && records[position] < VOID ->
       if
       :: owner == 0 && !(voided & (1 << records[position])) -> owner = records[position]
       :: else
       fi;
       position++
    :: position >= log_length -> break
    od
  }
}

proctype Home(byte home_id)
{
  byte owner; byte voided; byte position;
  append(home_id);
  if
  :: append(home_id) /* The response to the first append was lost. */
  :: skip
  fi;
#ifdef BROKEN
  effects++
#else
  read_owner();
  if
  :: owner == home_id ->
     if
     :: effects++              /* The call reached the service. */
     :: append(VOID + home_id) /* The service was unreachable: the call never runs. */
     fi
  :: else -> skip              /* Another intent owns the key: wait for its result. */
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
