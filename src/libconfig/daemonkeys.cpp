#include "daemonkeys_pvt.h"

namespace fescueledge {

namespace {

constexpr double decimalScale = 1000; ///< Decimals are stored as a whole number of thousandths.

} // namespace

// Each row: name, type, required, default, minimum, maximum, description; then the function that stores the value.

const std::vector<KeyBinding<NodeSettings>> &nodeKeys()
{
    static const std::vector<KeyBinding<NodeSettings>> keys{
        {{"name", ValueType::Name, true, "", 0, 0, "Name of this node, unique among all live nodes."},
         [](NodeSettings &target, const SettingValue &value) {
             target.name = value.text;
         }},
        {{"data-centre", ValueType::Name, true, "", 0, 0, "Data centre that this node runs in."},
         [](NodeSettings &target, const SettingValue &value) {
             target.dataCentre = value.text;
         }},
    };
    return keys;
}

const std::vector<KeyBinding<ListenSettings>> &listenKeys()
{
    static const std::vector<KeyBinding<ListenSettings>> keys{
        {{"caller", ValueType::Address, true, "", 0, 0,
          "Listener for callers: requests, jobs, `/metrics`, `/healthz`."},
         [](ListenSettings &target, const SettingValue &value) {
             target.caller = value.text;
         }},
        {{"operator", ValueType::Address, true, "", 0, 0, "Listener for operators; every request needs the token."},
         [](ListenSettings &target, const SettingValue &value) {
             target.operatorAddress = value.text;
         }},
        {{"peer", ValueType::Address, true, "", 0, 0, "Listener for the other nodes."},
         [](ListenSettings &target, const SettingValue &value) {
             target.peer = value.text;
         }},
    };
    return keys;
}

const std::vector<KeyBinding<PlatformSettings>> &platformKeys()
{
    static const std::vector<KeyBinding<PlatformSettings>> keys{
        {{"table-service", ValueType::Address, true, "", 0, 0, "The platform's transactional table service."},
         [](PlatformSettings &target, const SettingValue &value) {
             target.tableService = value.text;
         }},
        {{"object-store", ValueType::Address, true, "", 0, 0, "The platform's object store."},
         [](PlatformSettings &target, const SettingValue &value) {
             target.objectStore = value.text;
         }},
        {{"vm-list", ValueType::Address, true, "", 0, 0, "The platform's list of VMs."},
         [](PlatformSettings &target, const SettingValue &value) {
             target.vmList = value.text;
         }},
        {{"table-timeout", ValueType::Duration, false, "1s", 50, 10000,
          "Wait for an answer of the table service; after it the outcome of a write is unknown."},
         [](PlatformSettings &target, const SettingValue &value) {
             target.tableTimeout = Milliseconds(value.number);
         }},
        {{"object-timeout", ValueType::Duration, false, "5s", 50, 60000, "Wait for an answer of the object store."},
         [](PlatformSettings &target, const SettingValue &value) {
             target.objectTimeout = Milliseconds(value.number);
         }},
        {{"vm-list-timeout", ValueType::Duration, false, "1s", 50, 10000, "Wait for an answer of the VM list."},
         [](PlatformSettings &target, const SettingValue &value) {
             target.vmListTimeout = Milliseconds(value.number);
         }},
        {{"vm-list-interval", ValueType::Duration, false, "500ms", 50, 5000, "Time between two reads of the VM list."},
         [](PlatformSettings &target, const SettingValue &value) {
             target.vmListInterval = Milliseconds(value.number);
         }},
        {{"worker-timeout", ValueType::Duration, false, "2s", 50, 10000,
          "Wait for an answer of the agent on a worker."},
         [](PlatformSettings &target, const SettingValue &value) {
             target.workerTimeout = Milliseconds(value.number);
         }},
    };
    return keys;
}

const std::vector<KeyBinding<OperatorSettings>> &operatorKeys()
{
    static const std::vector<KeyBinding<OperatorSettings>> keys{
        {{"token", ValueType::Secret, false, "", 0, 0, "Bearer token of operators. Give either this or `token-file`."},
         [](OperatorSettings &target, const SettingValue &value) {
             target.token = value.text;
         }},
        {{"token-file", ValueType::FilePath, false, "", 0, 0, "File with the token on its first line, read at start."},
         [](OperatorSettings &target, const SettingValue &value) {
             target.tokenFile = value.text;
         }},
    };
    return keys;
}

const std::vector<KeyBinding<LeaseSettings>> &leaseKeys()
{
    static const std::vector<KeyBinding<LeaseSettings>> keys{
        {{"store", ValueType::Duration, false, "3s", 2000, 6000,
          "How long a node may act after it renewed its row in the table service. The same on all nodes."},
         [](LeaseSettings &target, const SettingValue &value) {
             target.store = Milliseconds(value.number);
         }},
        {{"grant", ValueType::Duration, false, "2s", 1000, 5000,
          "How long a grant of another node lets a node act. Shorter than `store`. The same on all nodes."},
         [](LeaseSettings &target, const SettingValue &value) {
             target.grant = Milliseconds(value.number);
         }},
        {{"worker", ValueType::Duration, false, "30s", 5000, 600000,
          "How long tasks on a worker run on without a message of the worker's owner. Longer than a takeover."},
         [](LeaseSettings &target, const SettingValue &value) {
             target.worker = Milliseconds(value.number);
         }},
        {{"drift-percent", ValueType::Percent, false, "3%", 0, 20,
          "Difference between the clock rates of two VMs, at most."},
         [](LeaseSettings &target, const SettingValue &value) {
             target.driftPercent = static_cast<int>(value.number);
         }},
    };
    return keys;
}

const std::vector<KeyBinding<LimitSettings>> &limitKeys()
{
    static const std::vector<KeyBinding<LimitSettings>> keys{
        {{"threads", ValueType::Integer, false, "32", 1, 1024, "Threads that serve connections, for each listener."},
         [](LimitSettings &target, const SettingValue &value) {
             target.threads = static_cast<int>(value.number);
         }},
        {{"body-size", ValueType::Size, false, "4MB", 1, 256, "Size of a request's body, at most."},
         [](LimitSettings &target, const SettingValue &value) {
             target.bodyMb = static_cast<int>(value.number);
         }},
        {{"drain", ValueType::Duration, false, "30s", 0, 600000,
          "How long a shutdown waits for requests in flight, at most."},
         [](LimitSettings &target, const SettingValue &value) {
             target.drain = Milliseconds(value.number);
         }},
    };
    return keys;
}

const std::vector<KeyBinding<LogSettings>> &logKeys()
{
    static const std::vector<KeyBinding<LogSettings>> keys{
        {{"directory", ValueType::FilePath, false, "", 0, 0, "Directory for log files; none are written without it."},
         [](LogSettings &target, const SettingValue &value) {
             target.directory = value.text;
         }},
        {{"level", ValueType::LogLevel, false, "info", 0, 0, "Least severity that is logged."},
         [](LogSettings &target, const SettingValue &value) {
             target.level = value.text;
         }},
        {{"to-stderr", ValueType::Boolean, false, "yes", 0, 0, "Whether log lines go to standard error."},
         [](LogSettings &target, const SettingValue &value) {
             target.toStderr = value.number != 0;
         }},
    };
    return keys;
}

const std::vector<KeyBinding<WorkflowSettings>> &workflowKeys()
{
    static const std::vector<KeyBinding<WorkflowSettings>> keys{
        {{"enabled", ValueType::Boolean, false, "no", 0, 0,
          "Whether this node runs workflows on a platform that lists its own workers and keeps the configuration; the "
          "node then serves no operators of its own."},
         [](WorkflowSettings &target, const SettingValue &value) {
             target.enabled = value.number != 0;
         }},
        {{"ready", ValueType::Address, false, "", 0, 0,
          "Listener that tells a balancer whether this node takes callers. Needed with `enabled`."},
         [](WorkflowSettings &target, const SettingValue &value) {
             target.ready = value.text;
         }},
        {{"metrics", ValueType::Address, false, "", 0, 0,
          "Listener for `/metrics` and `POST /explain/place`; none without it. Callers must not reach it: it asks for "
          "no key."},
         [](WorkflowSettings &target, const SettingValue &value) {
             target.metrics = value.text;
         }},
        {{"cores", ValueType::TruncatedDecimal, false, "1", 1, 1000000,
          "Processor time of this VM, in cores. Of the nodes that live, the one with the most coordinates."},
         [](WorkflowSettings &target, const SettingValue &value) {
             target.cores = static_cast<double>(value.number) / decimalScale;
         }},
        {{"worker-lease", ValueType::Duration, false, "4s", 1000, 60000,
          "How long tasks on a worker run on without a call of the coordinator. Longer than a takeover, at most what "
          "the platform allows."},
         [](WorkflowSettings &target, const SettingValue &value) {
             target.times.workerLease = Milliseconds(value.number);
         }},
        {{"max-worker-lease", ValueType::Duration, false, "10s", 1000, 600000,
          "The longest lease that workers of the platform accept; they shorten a longer one to it."},
         [](WorkflowSettings &target, const SettingValue &value) {
             target.times.maxWorkerLease = Milliseconds(value.number);
         }},
        {{"drain-notice", ValueType::Duration, false, "2s", 1000, 60000,
          "How long after a worker has announced its shutdown tasks may still start there. Starts wait while the list "
          "of workers is nearly as old, unless the store is away."},
         [](WorkflowSettings &target, const SettingValue &value) {
             target.times.drainNotice = Milliseconds(value.number);
         }},
        {{"stop-grace", ValueType::Duration, false, "2s", 1, 60000,
          "Time that a worker takes at most to stop a task. After a takeover, a task that may be on the way out counts "
          "as at work only after that time."},
         [](WorkflowSettings &target, const SettingValue &value) {
             target.times.stopGrace = Milliseconds(value.number);
         }},
        {{"row-bytes", ValueType::Integer, false, "65536", 4096, 16777216,
          "Length of the longest value that the store accepts in a row."},
         [](WorkflowSettings &target, const SettingValue &value) {
             target.times.tableLimits.rowBytes = static_cast<std::size_t>(value.number);
         }},
        {{"key-revocation-timeout", ValueType::Duration, false, "", 100, 600000,
          "Time after which a withdrawn key is refused by every node. A node that has not heard for nine tenths of it "
          "that "
          "its configuration is the newest serves no request with a key. Without it, keys are served until a newer "
          "configuration is read."},
         [](WorkflowSettings &target, const SettingValue &value) {
             target.keyRevocationTimeout = Milliseconds(value.number);
         }},
        {{"look-ahead", ValueType::Boolean, false, "no", 0, 0,
          "Whether workers are reserved for large tasks that find no room, while small ones that end in time, or leave "
          "enough room, still start there. Without it, workers are reserved for long-running tasks only, and nothing "
          "else starts there."},
         [](WorkflowSettings &target, const SettingValue &value) {
             target.times.lookAhead = value.number != 0;
         }},
        {{"weigh-moves", ValueType::Boolean, false, "no", 0, 0,
          "Whether a filler that is slowed down for the serving tasks beside it is moved only if it would end clearly "
          "earlier elsewhere, with the work that it repeats. Without it, each such filler is moved that has a better "
          "place."},
         [](WorkflowSettings &target, const SettingValue &value) {
             target.times.weighMoves = value.number != 0;
         }},
        {{"detect-silent-store", ValueType::Boolean, false, "no", 0, 0,
          "Whether a node finds out by reads of its own, and from other nodes, that the store answers nothing, and "
          "then "
          "refuses submissions at once with a delay that grows with the outage. Without it, callers find out one after "
          "the other."},
         [](WorkflowSettings &target, const SettingValue &value) {
             target.times.detectSilentStore = value.number != 0;
         }},
        {{"memory", ValueType::Size, false, "160MB", 64, 16777216,
          "Memory that this process may use. What clients may occupy is worked out from it."},
         [](WorkflowSettings &target, const SettingValue &value) {
             target.memoryMb = static_cast<std::size_t>(value.number);
         }},
        {{"descriptors", ValueType::Integer, false, "4100", 256, 16777216,
          "Descriptors that this process may have open. Half of them are for clients, the others for workers, other "
          "nodes and the store."},
         [](WorkflowSettings &target, const SettingValue &value) {
             target.descriptors = static_cast<std::size_t>(value.number);
         }},
        {{"input-memory", ValueType::Integer, false, "", 1048576, 17179869184,
          "Bytes that requests which are being received or answered may occupy together. Beyond it, the connections "
          "that hold most for longest are closed, and large requests refused with 503. Without it, an eighth of "
          "`memory`."},
         [](WorkflowSettings &target, const SettingValue &value) {
             target.inputMemory = static_cast<std::size_t>(value.number);
         }},
        {{"max-connections", ValueType::Integer, false, "", 16, 1000000,
          "Connections that clients may have to the callers' listener, and an eighth to each other one. Beyond it, the "
          "connection that has been idle for longest is closed. Without it, as many as take a quarter of `memory`, at "
          "84 KB each, and half of `descriptors`: 389 on a node of 160 MB."},
         [](WorkflowSettings &target, const SettingValue &value) {
             target.maxConnections = static_cast<std::size_t>(value.number);
         }},
        {{"status-retention", ValueType::Duration, false, "130s", 1000, 86400000,
          "How long the state of an ended workflow can be asked for."},
         [](WorkflowSettings &target, const SettingValue &value) {
             target.times.statusRetention = Milliseconds(value.number);
         }},
    };
    return keys;
}

const std::vector<SectionSchema> &daemonSchema()
{
    static const std::vector<SectionSchema> schema{
        makeSection("node", false, "Who this node is.", nodeKeys()),
        makeSection("listen", false, "Where this node listens.", listenKeys()),
        makeSection("platform", false, "Where the platform's services are.", platformKeys()),
        makeSection("operator", false, "How operators prove who they are.", operatorKeys()),
        makeSection("leases", false, "Times of the right to act.", leaseKeys()),
        makeSection("limits", false, "Bounds on what this node takes on.", limitKeys()),
        makeSection("log", false, "Where log lines go.", logKeys()),
        makeSection("workflow", false, "Workflows on a platform with its own list of workers.", workflowKeys()),
    };
    return schema;
}

} // namespace fescueledge
