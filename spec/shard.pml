/*
 * Ownership of one shard in one availability zone, over a platform with
 * leases and compare-and-swap, and VMs that serve as each other's witnesses.
 *
 * The rules under test
 *  1. An owner acts on its platform lease while the lease is live, counted from
 *     the clock reading taken BEFORE it sent its last successful renewal, and only
 *     if the table was written after that lease was put (the entry names the lease).
 *  2. An owner whose lease cannot be renewed continues to act while a majority of
 *     the witnesses confirm its table version, counted from before it asked.
 *  3. A taker reads the table and that the owner's lease has lapsed in one snapshot,
 *     writes version v+1 by compare-and-swap, asks for releases of v, and acts
 *     once a majority released. A witness releases v after its confirmations
 *     of versions up to v have run out, and never confirms them again.
 *  4. A restarted witness confirms nothing until it has read the platform, and
 *     releases nothing until what it may have confirmed before has run out.
 *  5. A VM that shuts down stops acting, then names its successor by
 *     compare-and-swap, and never acts again until it has restarted.
 *
 * Faults. Any step may be delayed forever, so a pause, a kill, a partition between
 * VMs, a partition from the platform and an outage of the platform are all runs of
 * this model. Responses to writes may be lost. Late writes of an earlier process
 * may still arrive. Clock rates: a tick is true time. OWNER is the longest time
 * that an owner with a slow clock counts. WITNESS and LEASE are the shortest times
 * that a witness and the platform with fast clocks count. The margins make
 * OWNER <= WITNESS and OWNER <= LEASE; longer and shorter ones only remove runs.
 *
 * The names in "STEP name" are the transitions of charts/shard.json.
 */
#define N 3
#ifndef VERSIONS
#define VERSIONS 3
#endif
#ifndef RESTARTS
#define RESTARTS 2
#endif
#ifndef HANDOVERS
#define HANDOVERS 1
#endif
#ifndef TICKS
#define TICKS 2
#endif
#define WITNESS TICKS
#define LEASE TICKS
#ifdef FAULT_NO_MARGIN
#define OWNER (TICKS + 1)
#else
#define OWNER TICKS
#endif
#ifndef HORIZON
#define HORIZON 0
#endif
#ifdef FAULT_SHORT_HORIZON
#define ALONE OWNER
#else
#define ALONE (HORIZON + OWNER)
#endif

#define MAJORITY(s) ((s) == 3 || (s) == 5 || (s) == 6 || (s) == 7)

/* The platform: the table with its history, and the lease of its owner. */
byte version = 1;
byte owner[VERSIONS + 1];
bit settled[VERSIONS + 1]; /* this version's entry lists no witnesses whose release is still missing */
bit mine[VERSIONS + 1];    /* its entry names the lease of the owner's current process */
bit present = 1;      /* the owner's lease has not lapsed at the platform */
byte lapse = LEASE;   /* ticks until the lease may lapse */

/* Each VM's memory. */
byte known[N];        /* highest table version that it knows */
bit mute[N];          /* has not read the platform since its restart */
bit bound[N];         /* knows that the entry names its own lease */
bit released[N];      /* a majority released the versions before known */
bit left[N];          /* it is shutting down */
byte lease[N];        /* ticks left of its lease by its own count */
byte call[N];         /* ticks left counted from before it sent a renewal; 0: no renewal in flight */
byte pending[N];      /* version at which a taker saw the lease lapsed; its write is in flight */
bit late[N];          /* that write was sent by an earlier process */
byte handing[N];      /* version that a handover in flight is to replace */
byte round[N];        /* ticks left counted from before it asked for confirmations */
byte confirms[N];     /* set of witnesses that confirmed in this round */
byte releases[N];     /* set of witnesses that released */
byte given[N];        /* ticks until this VM's confirmations of known run out */
byte givenBelow[N];   /* the same for versions below known */
#if HORIZON
byte fresh[N];        /* ticks during which a witness may still confirm what it read */
byte alone[N];        /* ticks until a taker may act without releases */
#endif
#ifdef FAULT_CLOCK_AFTER
bit answering[N];
#endif

byte restarts;
byte handovers;

#define OWNS(i) (owner[known[i]] == i && released[i] && !left[i])
#define ACTS(i) (OWNS(i) && ((bound[i] && lease[i] > 0) || (MAJORITY(confirms[i]) && round[i] > 0)))

inline forgetRole(i) {
  bound[i] = 0; released[i] = 0; round[i] = 0; confirms[i] = 0; releases[i] = 0;
  lease[i] = 0; call[i] = 0;
#ifdef FAULT_CLOCK_AFTER
  answering[i] = 0;
#endif
}

/* Learns a table version, from the platform or from another VM. */
inline learn(i, v) {
  if
  :: v > known[i] ->
     if :: given[i] > givenBelow[i] -> givenBelow[i] = given[i] :: else fi;
     given[i] = 0;
     known[i] = v;
     forgetRole(i);
#if HORIZON
     if :: owner[v] == i -> alone[i] = ALONE :: else -> alone[i] = 0 fi;
#endif
  :: else
  fi
}

/* Applies the known table entry if it names this VM as the owner. */
inline seeEntry(i) {
  if
  :: owner[known[i]] == i ->
     if :: mine[known[i]] -> bound[i] = 1 :: else fi;
     if :: settled[known[i]] -> released[i] = 1 :: else fi
  :: else
  fi
}

inline readTable(i) {
  learn(i, version);
  mute[i] = 0;
#if HORIZON
  fresh[i] = HORIZON;
#endif
  seeEntry(i)
}

#define CONFLICT(j) \
  if :: pending[j] > 0 || handing[j] > 0 -> printf("STEP conflict vm %d\n", j); pending[j] = 0; handing[j] = 0 :: else fi; \
  late[j] = 0

/* Entries that name an earlier lease of a VM no longer bind it. */
#define FORGET_LEASE_AT(vm, v) if :: owner[v] == vm -> mine[v] = 0 :: else fi
#if VERSIONS == 2
#define FORGET_LEASE(vm) FORGET_LEASE_AT(vm, 1); FORGET_LEASE_AT(vm, 2)
#else
#define FORGET_LEASE(vm) FORGET_LEASE_AT(vm, 1); FORGET_LEASE_AT(vm, 2); FORGET_LEASE_AT(vm, 3)
#endif

/* The platform's lease starts with the table write that names it. Writes in
 * flight that compare with an older version can only conflict.
 * An owner joins the lease that a new entry names only after any earlier lease of
 * that owner has lapsed, so what the owner knew of an earlier one is void. */
inline write(vm, named) {
  version++; owner[version] = vm; present = 1; lapse = LEASE;
  FORGET_LEASE(vm); mine[version] = named;
  bound[vm] = 0; lease[vm] = 0; call[vm] = 0;
  CONFLICT(0); CONFLICT(1); CONFLICT(2)
}

#ifdef FAULT_NO_WAIT
#define LAPSED true
#else
#define LAPSED (!present)
#endif
#ifdef FAULT_EARLY_RELEASE
#define MAY_RELEASE(i) true
#else
#define MAY_RELEASE(i) (givenBelow[i] == 0)
#endif
#if HORIZON
#define MAY_CONFIRM(i) (fresh[i] > 0)
#define STALE(i) (fresh[i] < HORIZON)
#else
#define MAY_CONFIRM(i) (!mute[i])
#define STALE(i) false
#endif
#ifdef FAULT_CLOCK_AFTER
#define SENT(i) answering[i] = 1
#define IN_CALL(i) answering[i]
#define READING(i) OWNER; answering[i] = 0
#else
#define SENT(i) skip
#define IN_CALL(i) (call[i] > lease[i])
#define READING(i) call[i]
#endif

#define PEER(j) \
  :: d_step { known[j] > known[i] -> printf("STEP hear vm %d\n", i); learn(i, known[j]); seeEntry(i) } \
  :: d_step { owner[known[j]] == j && !released[j] && known[i] == known[j] && !(releases[j] & (1 << i)) && MAY_RELEASE(i) -> \
       printf("STEP release vm %d\n", i); releases[j] = releases[j] | (1 << i) } \
  :: d_step { round[j] > 0 && known[i] == known[j] && !(confirms[j] & (1 << i)) && MAY_CONFIRM(i) -> \
       printf("STEP confirm vm %d\n", i); confirms[j] = confirms[j] | (1 << i); given[i] = WITNESS }

proctype VM(byte i) {
  do
  /* The lease: a renewal reaches the platform; its response arrives late or never. */
  :: d_step { owner[version] == i && mine[version] && present && bound[i] && !left[i] && (lapse < LEASE || call[i] < OWNER) ->
       printf("STEP renew vm %d\n", i); call[i] = OWNER; SENT(i); lapse = LEASE }
  :: d_step { IN_CALL(i) -> printf("STEP renewed vm %d\n", i); lease[i] = READING(i); call[i] = 0 }

  /* The table. */
  :: d_step { known[i] < version || mute[i] || (owner[version] == i && ((mine[version] && !bound[i]) || (!released[i] && settled[version]))) || STALE(i) ->
       printf("STEP read vm %d\n", i); readTable(i) }
  :: d_step { !left[i] && pending[i] == 0 && version < VERSIONS && owner[version] != i && LAPSED ->
       printf("STEP ownerLapsed vm %d\n", i); readTable(i); pending[i] = version }
  :: d_step { pending[i] > 0 && pending[i] == version ->
       printf("STEP take vm %d\n", i); pending[i] = 0; write(i, !late[i]) }
  :: d_step { owner[version] == i && known[i] == version && !left[i] && (!mine[version] || !present) && version < VERSIONS ->
       printf("STEP retake vm %d\n", i);
#ifdef FAULT_NO_BIND
       bound[i] = 1; lease[i] = OWNER; mine[version] = 1; present = 1; lapse = LEASE
#else
       write(i, 1); settled[version] = settled[version - 1]
#endif
     }

  /* Releases. */
  :: d_step { owner[known[i]] == i && known[i] == version && !settled[version] && released[i] ->
       printf("STEP settle vm %d\n", i); settled[version] = 1 }
  :: d_step { owner[known[i]] == i && !released[i] && MAJORITY(releases[i]) ->
       printf("STEP released vm %d\n", i); released[i] = 1; releases[i] = 0 }
#if HORIZON
  :: d_step { owner[known[i]] == i && !released[i] && alone[i] == 0 ->
       printf("STEP abandoned vm %d\n", i); released[i] = 1; releases[i] = 0 }
#endif
#ifdef FAULT_NO_RELEASE
  :: d_step { owner[known[i]] == i && !released[i] -> printf("STEP acts unreleased vm %d\n", i); released[i] = 1 }
#endif

  /* Confirmations. */
  :: d_step { OWNS(i) && round[i] < OWNER ->
       printf("STEP extend vm %d\n", i); round[i] = OWNER; confirms[i] = 0 }

  /* What i, as a witness, receives from each VM (itself included) and how it responds. */
  PEER(0)
  PEER(1)
  PEER(2)

  /* Handover at shutdown: stop, then write; the response does not matter. */
  :: d_step { handovers < HANDOVERS && OWNS(i) && bound[i] && known[i] < VERSIONS ->
       printf("STEP handOver vm %d\n", i); handovers++; handing[i] = known[i];
#ifndef FAULT_LATE_STOP
       forgetRole(i); left[i] = 1
#endif
     }
  :: d_step { handing[i] > 0 && handing[i] == version ->
       printf("STEP handedOver vm %d\n", i); handing[i] = 0; write((i + 1) % N, 1) }

  /* The VM's process is killed and another starts in its slot. */
  :: d_step { restarts < RESTARTS ->
       printf("STEP restart vm %d\n", i); restarts++;
       known[i] = 0; forgetRole(i); left[i] = 0; given[i] = 0;
       late[i] = (pending[i] > 0);
       FORGET_LEASE(i);
#ifndef FAULT_RESTART_CONFIRMS
       mute[i] = 1;
#endif
#if HORIZON
       fresh[i] = 0; alone[i] = 0;
#endif
#ifdef FAULT_RESTART_RELEASES
       givenBelow[i] = 0
#else
       givenBelow[i] = WITNESS
#endif
     }
  od
}

inline count(t) { if :: t > 0 -> t-- :: else fi }

inline tick(i) {
  count(lease[i]); count(call[i]); count(given[i]); count(givenBelow[i]); count(round[i]);
  if :: round[i] == 0 -> confirms[i] = 0 :: else fi;
#if HORIZON
  count(fresh[i]); count(alone[i]);
#endif
}

active proctype Clock() {
  d_step {
    owner[0] = N; owner[1] = 0; settled[1] = 1; mine[1] = 1; known[0] = 1; known[1] = 1; known[2] = 1;
    bound[0] = 1; released[0] = 1; lease[0] = OWNER
#if HORIZON
    ; fresh[0] = HORIZON; fresh[1] = HORIZON; fresh[2] = HORIZON
#endif
  }
  atomic { run VM(0); run VM(1); run VM(2) }
  do
  :: d_step { printf("STEP tick\n"); count(lapse); tick(0); tick(1); tick(2) }
  :: d_step { present && lapse == 0 -> printf("STEP platform lapses\n"); present = 0 }
  :: d_step { (ACTS(0) && ACTS(1)) || (ACTS(0) && ACTS(2)) || (ACTS(1) && ACTS(2)) ->
       printf("STEP two owners act\n"); assert(false) }
#ifdef REACH_OUTAGE
  :: d_step { ACTS(0) && mute[0] && !present ->
       printf("STEP restarted owner acts in the outage\n"); assert(false) }
#endif
#ifdef REACH_TAKEOVER
  :: d_step { version == VERSIONS && owner[version] != 0 && ACTS(owner[version]) ->
       printf("STEP successor acts\n"); assert(false) }
#endif
  od
}
