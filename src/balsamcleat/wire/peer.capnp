@0xd1a7c2b94e5f6083;
# Messages between entry VMs. Fields are only ever added, never changed or
# renumbered, so that two releases run side by side.

struct Member {
  vmId @0 :Text;
  zone @1 :Text;
  peerAddress @2 :Text;
  incarnation @3 :UInt64;
  status @4 :Text;
  configuration @5 :UInt64;
}

struct Digest {
  version @0 :UInt64;
  digest @1 :Text;
}

struct ZoneSummary {
  zone @0 :Text;
  ageMs @1 :UInt64;
  alive @2 :UInt32;
  payload @3 :Data;
}

struct Heartbeat {
  members @0 :List(Member);
  configuration @1 :Digest;
  zones @2 :List(ZoneSummary);
  probe @3 :UInt64;
}

struct HeartbeatAck {
  probe @0 :UInt64;
  members @1 :List(Member);
  configuration @2 :Digest;
  zones @3 :List(ZoneSummary);
}

struct IndirectProbe {
  probe @0 :UInt64;
  target @1 :Text;
}

struct Notice {
  kind @0 :Text;
  payload @1 :Data;
}

struct ConfigurationBody {
  version @0 :UInt64;
  record @1 :Data;
}

struct ForwardRequest {
  kind @0 :Text;
  payload @1 :Data;
}

struct ForwardReply {
  payload @0 :Data;
  error @1 :Text;
}

struct Envelope {
  format @0 :UInt16;
  sender @1 :Text;
  incarnation @2 :UInt64;
  sequence @3 :UInt64;
  body :union {
    heartbeat @4 :Heartbeat;
    heartbeatAck @5 :HeartbeatAck;
    configurationAsk @6 :UInt64;
    configurationBodies @7 :List(ConfigurationBody);
    forwardRequest @8 :ForwardRequest;
    forwardReply @9 :ForwardReply;
    indirectProbe @10 :IndirectProbe;
    syncAsk @11 :List(Member);
    syncReply @12 :List(Member);
    notice @13 :Notice;
  }
}
