@0xe1b2c7a95d3f8042;
# Messages between millfork's own processes. On the wire, a frame is a 4-byte length with flags
# (see codec.py) followed by one Frame message, or by a part of one. Fields may be added, but never removed or renumbered.

struct Frame {
  id @0 :UInt64;        # a reply has the id of its request; 0 for events
  kind @1 :UInt8;       # 0 request, 1 reply, 2 event
  union {
    hello @2 :Hello;
    proof @3 :Proof;
    ping @4 :Ping;
    failure @5 :Failure;
    preVote @6 :VoteRequest;
    vote @7 :VoteRequest;
    voteReply @8 :VoteReply;
    append @9 :AppendRequest;
    appendReply @10 :AppendReply;
    install @11 :InstallRequest;
    identify @12 :Identify;
    identity @13 :Identity;
    genesis @14 :Genesis;
    propose @15 :Propose;
    proposed @16 :Proposed;
    subscribe @17 :Subscribe;
    update @18 :Update;
    report @19 :Report;
    reports @20 :Reports;
    reserve @21 :Reserve;
    reserved @22 :Reserved;
    start @23 :Start;
    head @24 :Head;
    part @25 :Part;
    end @26 :End;
    cancel @27 :Cancel;
    cancelled @28 :Cancelled;
    getManifest @29 :GetManifest;
    manifest @30 :Manifest;
    getChunk @31 :GetChunk;
    chunk @32 :Chunk;
    leaving @33 :Leaving;
    load @34 :Load;
    done @35 :Done;
    readState @36 :ReadState;
    stateView @37 :StateView;
    askRevision @38 :AskRevision;
    revisionIs @39 :RevisionIs;
    findReplicas @40 :FindReplicas;
    replicas @41 :Replicas;
    follow @42 :Follow;
    leases @43 :Leases;
    endpointReport @44 :EndpointReport;
    pushChunk @45 :PushChunk;
    askFeed @46 :AskFeed;
    feedSent @47 :FeedSent;
    suspicionReport @48 :SuspicionReport;
    noteTurnedAway @49 :NoteTurnedAway;
    askTurnedAway @50 :AskTurnedAway;
    turnedAwayBefore @51 :TurnedAwayBefore;
    askLoad @52 :AskLoad;
    engineLoad @53 :EngineLoad;
    askSuspicions @54 :AskSuspicions;
    backEndFate @55 :BackEndFate;
    received @56 :Received;
  }
}

struct Hello { version @0 :UInt32; instance @1 :Text; zone @2 :Text; role @3 :Text; nonce @4 :Data; target @5 :Text; }
struct Proof { mac @0 :Data; }
struct Ping {}
struct Received { size @0 :UInt32; }
struct Done { ok @0 :Bool; }
struct Failure { reason @0 :Text; detail @1 :Text; }

struct Member { instance @0 :Text; disk @1 :Text; }
struct VoteRequest { cluster @0 :Text; term @1 :UInt64; candidate @2 :Text; lastIndex @3 :UInt64; lastTerm @4 :UInt64; }
struct VoteReply { term @0 :UInt64; granted @1 :Bool; disk @2 :Text; }
struct Entry { term @0 :UInt64; index @1 :UInt64; payload @2 :Data; }
struct AppendRequest {
  cluster @0 :Text; term @1 :UInt64; leader @2 :Text; prevIndex @3 :UInt64; prevTerm @4 :UInt64;
  entries @5 :List(Entry); commit @6 :UInt64;
}
struct AppendReply { term @0 :UInt64; ok @1 :Bool; match @2 :UInt64; disk @3 :Text; leaving @4 :Bool; }
struct InstallRequest { cluster @0 :Text; term @1 :UInt64; leader @2 :Text; lastIndex @3 :UInt64; lastTerm @4 :UInt64; snapshot @5 :Data; }
struct Identify {}
struct Identity { disk @0 :Text; cluster @1 :Text; empty @2 :Bool; }
struct Genesis { cluster @0 :Text; members @1 :List(Member); }
struct Propose { command @0 :Data; }
struct Proposed { ok @0 :Bool; result @1 :Data; reason @2 :Text; leader @3 :Text; }
struct ReadState { what @0 :Text; }
struct StateView { ok @0 :Bool; body @1 :Data; leader @2 :Text; }

struct Item { key @0 :Text; value @1 :Data; revision @2 :UInt64; }
struct Subscribe { cluster @0 :Text; revision @1 :UInt64; }
struct VersionSwitch { model @0 :Text; version @1 :UInt64; leftMs @2 :UInt32; }
struct Update {
  cluster @0 :Text; fromRevision @1 :UInt64; revision @2 :UInt64; full @3 :Bool;
  items @4 :List(Item); removed @5 :List(Text); ageMs @6 :UInt32;
}
struct AskRevision {}
struct RevisionIs { cluster @0 :Text; revision @1 :UInt64; ageMs @2 :UInt32; }
struct Report { instance @0 :Text; incarnation @1 :UInt64; sequence @2 :UInt64; body @3 :Data; }
struct Reports { reports @0 :List(Report); revision @1 :UInt64; }

struct Header { name @0 :Text; value @1 :Text; }
struct Reserve {
  requestId @0 :Text; organisation @1 :Text; service @2 :Text; deadlineMs @3 :UInt32; priority @4 :UInt8;
  method @5 :Text; path @6 :Text; headers @7 :List(Header); body @8 :Data; key @9 :Text; attempt @10 :Text;
}
struct Reserved { ok @0 :Bool; reason @1 :Text; detail @2 :Text; retryAfterMs @3 :UInt32; version @4 :Text; }
struct Start { requestId @0 :Text; }
struct Head { requestId @0 :Text; status @1 :UInt16; headers @2 :List(Header); }
struct Part { requestId @0 :Text; sequence @1 :UInt32; data @2 :Data; }
struct End { requestId @0 :Text; parts @1 :UInt32; bytes @2 :UInt64; reason @3 :Text; verdict @4 :Text; detail @5 :Text; incarnation @6 :Text; }
struct BackEndFate { requestId @0 :Text; ended @1 :Bool; }
struct Cancel { requestId @0 :Text; }
struct Cancelled { requestId @0 :Text; verdict @1 :Text; incarnation @2 :Text; }
struct Leaving { instance @0 :Text; }
struct ServedVersion { service @0 :Text; version @1 :Text; }
struct Load { running @0 :UInt32; queued @1 :UInt32; limit @2 :UInt32; leaving @3 :Bool; served @4 :List(ServedVersion); start @5 :UInt64; }

struct GetManifest { digest @0 :Text; draw @1 :Bool; }
struct Manifest { found @0 :Bool; body @1 :Data; whole @2 :Bool; reason @3 :Text; }
struct GetChunk { manifest @0 :Text; index @1 :UInt32; waitMs @2 :UInt32; draw @3 :Bool; }
struct Chunk { found @0 :Bool; data @1 :Data; reason @2 :Text; }

struct FindReplicas { instance @0 :Text; cluster @1 :Text; entries @2 :UInt32; }
struct Replicas { cluster @0 :Text; leader @1 :Text; known @2 :List(Text); ageMs @3 :UInt32; entries @4 :UInt32; caches @5 :List(CacheAddress); zone @6 :Text;
  switches @7 :List(VersionSwitch); revision @8 :UInt64;
}
struct CacheAddress { instance @0 :Text; zone @1 :Text; }
struct Follow { role @0 :Text; cluster @1 :Text; revision @2 :UInt64; }
struct Leases { full @0 :Bool; settled @1 :Bool; entries @2 :UInt32; leases @3 :Data; reports @4 :Data; mostEntries @5 :UInt32; suspicions @6 :Data; }
struct EndpointReport { body @0 :Data; }
struct SuspicionReport { body @0 :Data; }
struct AskSuspicions {}
struct PushChunk { manifest @0 :Text; index @1 :UInt32; data @2 :Data; }
struct AskFeed { cluster @0 :Text; revision @1 :UInt64; leaseVersion @2 :UInt64; reportVersion @3 :UInt64; suspicionVersion @4 :UInt64; }
struct FeedSent {
  ok @0 :Bool; leaseVersion @1 :UInt64; reportVersion @2 :UInt64;
  switches @3 :List(VersionSwitch); suspicionVersion @4 :UInt64;
}
struct NoteTurnedAway { fingerprint @0 :Data; elapsedMs @1 :UInt32; }
struct AskTurnedAway { fingerprint @0 :Data; }
struct AskLoad {}
struct EngineLoad { known @0 :Bool; running @1 :UInt32; queued @2 :UInt32; pacePercent @3 :UInt32; incarnation @4 :UInt64; }
struct TurnedAwayBefore { found @0 :Bool; elapsedMs @1 :UInt32; }
