/**
 * @file settings_table.h
 * Every setting of an entry instance, one row each. Parsing, checking, help
 * and docs/SETTINGS.md follow from the rows. Included with MC_SETTING defined:
 * MC_SETTING(symbol, name, type, default, least, greatest, unit, text).
 * The default is JSON; an empty one makes the setting required. Least and
 * greatest bound a number, or the size of a text or list.
 */
// No include guard: each inclusion expands the rows anew.
// clang-format off
MC_SETTING(InstanceId, "instance.id", Name, "", 1, 100, "", "Name of this entry instance; unique and new for each process started.")
MC_SETTING(InstanceDataCentre, "instance.data_centre", Name, "", 1, 100, "", "Data centre that this instance is in, as the manifest names it.")
MC_SETTING(ListenCaller, "listen.caller", Endpoint, "", 1, 1, "", "Address for callers, health and metrics.")
MC_SETTING(ListenPeer, "listen.peer", Endpoint, "", 1, 1, "", "Address for other entry instances, TCP and UDP.")
MC_SETTING(PlatformAddresses, "platform.addresses", Endpoints, "", 1, 16, "", "Addresses of the platform's service, tried in turn.")
MC_SETTING(PlatformTimeout, "platform.timeout_ms", Integer, "1000", 10, 60000, "ms", "Longest wait for one call to the platform; watches add theirs.")
MC_SETTING(PlatformWrites, "platform.writes_per_s", Number, "40", 0.1, 100000, "1/s", "This instance's share of the platform's writes.")
MC_SETTING(PlatformReads, "platform.reads_per_s", Number, "200", 0.1, 100000, "1/s", "This instance's share of the platform's reads; a watch counts as one.")
MC_SETTING(LogLevel, "log.level", Level, "\"info\"", 0, 0, "", "Least level that is logged: trace, debug, info, warn, error or off.")
MC_SETTING(WorkersCaller, "workers.caller", Integer, "64", 1, 1024, "threads", "Workers that answer callers, one query each at a time.")
MC_SETTING(WorkersPeer, "workers.peer", Integer, "64", 1, 1024, "threads", "Workers that answer other entry instances.")
MC_SETTING(IoThreads, "io.threads", Integer, "2", 1, 64, "threads", "Threads of outgoing connections.")
MC_SETTING(OwnershipReplicas, "ownership.replicas", Integer, "1", 0, 8, "instances", "Owners of each group of leaves; 0: every instance sends directly.")
MC_SETTING(RelayShards, "relay.shards_per_message", Integer, "0", 0, 10000, "shards", "Shards that one message to an owner asks for at most; 0: all. A message is answered once its slowest shard is.")
MC_SETTING(HedgeBudget, "hedge.budget_percent", Number, "5", 0, 100, "%", "Hedges and retries together, of all sends.")
MC_SETTING(HedgeQuantile, "hedge.quantile_percent", Number, "95", 50, 99.9, "%", "Quantile of a leaf's latency after which a hedge is sent.")
MC_SETTING(HedgeFixed, "hedge.fixed_ms", Integer, "0", 0, 60000, "ms", "Hedge after this time always, in place of the quantile; 0: by the quantile. For comparison.")
MC_SETTING(AdmissionFifo, "admission.fifo", Boolean, "false", 0, 0, "", "First come, first served in place of urgency and deadline; for comparison.")
MC_SETTING(AdmissionQueueLimit, "admission.queue_limit", Integer, "64", 1, 10000, "requests", "Requests that wait for one leaf before more are refused.")
MC_SETTING(ShutdownDrain, "shutdown.drain_ms", Integer, "3000", 0, 600000, "ms", "Serving goes on this long after a stop was asked for, until the balancer has noticed.")
MC_SETTING(ShutdownBound, "shutdown.bound_ms", Integer, "20000", 1, 600000, "ms", "Longest time from the request to stop to the end of the process.")
MC_SETTING(GossipPeriod, "gossip.period_ms", Integer, "1000", 50, 60000, "ms", "Time between heartbeats and exchanges with other entry instances.")
MC_SETTING(RecordWindow, "record.window_ms", Integer, "600000", 1000, 86400000, "ms", "Time for which the record of requests that run at most once is kept.")
MC_SETTING(RecordBatch, "record.batch_ms", Integer, "5", 0, 1000, "ms", "Time for which records are gathered into one write.")
MC_SETTING(QuarantineScreen, "quarantine.screen_always", Boolean, "true", 0, 0, "", "Each request that never ran before goes first alone; false: only after a death at its service.")
MC_SETTING(QueryBodyLimit, "query.body_limit_bytes", Integer, "65536", 256, 1048576, "bytes", "Longest query.")
// clang-format on
