#include "tablekeys_pvt.h"

namespace fescueledge {

namespace {

constexpr double decimalScale = 1000.0;
constexpr double percentScale = 100.0;
constexpr std::int64_t maxCores = 1024 * 1000; ///< Cores of one VM, in thousandths.
constexpr std::int64_t maxMemoryMb = 16 * 1024 * 1024; ///< Memory of one VM.
constexpr std::int64_t maxTeamVms = 1000; ///< Upper bound of a team's quota, in multiples of the bounds of one VM.

} // namespace

const std::vector<KeyBinding<Route>> &routeKeys()
{
    static const std::vector<KeyBinding<Route>> keys{
        {{"host", ValueType::Host, false, "", 0, 0, "Host that a request must name; any host without it."},
         [](Route &target, const SettingValue &value) {
             target.host = value.text;
         }},
        {{"path", ValueType::UrlPath, true, "", 0, 0, "Prefix that the path of a request must have."},
         [](Route &target, const SettingValue &value) {
             target.pathPrefix = value.text;
         }},
        {{"methods", ValueType::MethodList, false, "", 0, 0, "Methods that match; any method without it."},
         [](Route &target, const SettingValue &value) {
             target.methods = value.list;
         }},
        {{"pool", ValueType::Name, true, "", 0, 0, "Pool that serves the requests."},
         [](Route &target, const SettingValue &value) {
             target.pool = value.text;
         }},
        {{"deadline", ValueType::Duration, false, "1s", 1, 300000,
          "Time within which the caller gets the answer or a typed error."},
         [](Route &target, const SettingValue &value) {
             target.deadline = Milliseconds(value.number);
         }},
        {{"idempotent", ValueType::Boolean, false, "no", 0, 0,
          "Whether a request may be sent again after a failure. If not, it runs at most once."},
         [](Route &target, const SettingValue &value) {
             target.idempotent = value.number != 0;
         }},
        {{"max-attempts", ValueType::Integer, false, "1", 1, 10,
          "Sends of one request at most; above 1 only if idempotent."},
         [](Route &target, const SettingValue &value) {
             target.maxAttempts = static_cast<int>(value.number);
         }},
    };
    return keys;
}

const std::vector<KeyBinding<Pool>> &poolKeys()
{
    static const std::vector<KeyBinding<Pool>> keys{
        {{"workers", ValueType::WorkerList, true, "", 0, 0, "Workers in this pool. No worker is in two pools."},
         [](Pool &target, const SettingValue &value) {
             target.workers = value.list;
         }},
        {{"slots", ValueType::Integer, false, "8", 1, 1024, "Requests in service on one endpoint at most."},
         [](Pool &target, const SettingValue &value) {
             target.slots = static_cast<int>(value.number);
         }},
        {{"connections", ValueType::Integer, false, "64", 1, 65536,
          "Connections to one endpoint at most; not fewer than slots."},
         [](Pool &target, const SettingValue &value) {
             target.connections = static_cast<int>(value.number);
         }},
        {{"queue", ValueType::Integer, false, "256", 0, 100000, "Requests that wait for a slot on one node at most."},
         [](Pool &target, const SettingValue &value) {
             target.queue = static_cast<int>(value.number);
         }},
        {{"customer-limit", ValueType::Integer, false, "0", 0, 100000,
          "Requests in flight of one customer on one node at most; 0 for no limit."},
         [](Pool &target, const SettingValue &value) {
             target.customerLimit = static_cast<int>(value.number);
         }},
        {{"retry-budget", ValueType::Percent, false, "10%", 0, 100, "Retries in proportion to first sends, at most."},
         [](Pool &target, const SettingValue &value) {
             target.retryBudget = static_cast<double>(value.number) / percentScale;
         }},
        {{"reserve-cores", ValueType::Decimal, false, "0", 0, maxCores,
          "Cores of each worker that are kept for the endpoint."},
         [](Pool &target, const SettingValue &value) {
             target.serviceReserve.milliCores = value.number;
         }},
        {{"reserve-memory", ValueType::Size, false, "0MB", 0, maxMemoryMb,
          "Memory of each worker that is kept for the endpoint."},
         [](Pool &target, const SettingValue &value) {
             target.serviceReserve.memoryMb = value.number;
         }},
        {{"reserve-accelerators", ValueType::Integer, false, "0", 0, 64,
          "Accelerators of each worker that are kept for the endpoint."},
         [](Pool &target, const SettingValue &value) {
             target.serviceReserve.accelerators = value.number;
         }},
        {{"batch-percent", ValueType::Percent, false, "100%", 0, 100,
          "Share of the rest of each worker that batch tasks may use."},
         [](Pool &target, const SettingValue &value) {
             target.batchPercent = static_cast<int>(value.number);
         }},
        {{"target-p99", ValueType::Duration, false, "", 1, 300000,
          "Latency (99th percentile) of the endpoint above which batch tasks beside it are throttled or evicted."},
         [](Pool &target, const SettingValue &value) {
             target.targetP99 = Milliseconds(value.number);
         }},
    };
    return keys;
}

const std::vector<KeyBinding<TeamQuota>> &teamKeys()
{
    static const std::vector<KeyBinding<TeamQuota>> keys{
        {{"cores", ValueType::Decimal, false, "0", 0, maxCores * maxTeamVms,
          "Cores that the team's running tasks may use; 0 for no limit."},
         [](TeamQuota &target, const SettingValue &value) {
             target.limit.milliCores = value.number;
         }},
        {{"memory", ValueType::Size, false, "0MB", 0, maxMemoryMb * maxTeamVms,
          "Memory that the team's running tasks may use; 0 for no limit."},
         [](TeamQuota &target, const SettingValue &value) {
             target.limit.memoryMb = value.number;
         }},
        {{"accelerators", ValueType::Integer, false, "0", 0, 100000,
          "Accelerators that the team's running tasks may use; 0 for no limit."},
         [](TeamQuota &target, const SettingValue &value) {
             target.limit.accelerators = value.number;
         }},
        {{"weight", ValueType::Decimal, false, "1", 10, 1000000, "Share of the team when all teams compete."},
         [](TeamQuota &target, const SettingValue &value) {
             target.weight = static_cast<double>(value.number) / decimalScale;
         }},
    };
    return keys;
}

const std::vector<SectionSchema> &routesSchema()
{
    static const std::vector<SectionSchema> schema{
        makeSection("route", true, "Which requests go to which pool.", routeKeys()),
    };
    return schema;
}

const std::vector<SectionSchema> &poolsSchema()
{
    static const std::vector<SectionSchema> schema{
        makeSection("pool", true, "Workers and the limits on them.", poolKeys()),
        makeSection("team", true, "Limits and share of a team's batch tasks.", teamKeys()),
    };
    return schema;
}

} // namespace fescueledge
