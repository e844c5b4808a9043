#include "operatorapi_pvt.h"

#include "apierror_pvt.h"
#include "daemoncontext_pvt.h"
#include "fescueledge/controlregister.h"
#include "fescueledge/controlstate.h"
#include "fescueledge/nodeauthority.h"
#include "fescueledge/tablediff.h"
#include "fescueledge/tableparser.h"
#include "fescueledge/vmdirectory.h"
#include "fescueledge/workercontroller.h"
#include "looprequest_pvt.h"
#include "operatorjson_pvt.h"
#include "peerquery_pvt.h"

#include <map>

namespace fescueledge {

namespace {

using ControlStatePtr = std::shared_ptr<const ControlState>;

constexpr Milliseconds readTimeout{5000};
constexpr Milliseconds changeTimeout{30000};
constexpr std::size_t defaultHistoryLimit = 20;
constexpr std::size_t maxHistoryLimit = 1000;

/// The error to report for a rejected change.
Error toError(const ControlOutcome &outcome)
{
    switch (outcome.status) {
    case ControlOutcome::Status::Conflict:
        return {ErrorKind::Conflict, "made against another version; current is " + std::to_string(outcome.version)};
    case ControlOutcome::Status::DigestMismatch:
        return {ErrorKind::DigestMismatch, "the content is not the one that was reviewed"};
    case ControlOutcome::Status::Invalid:
        return {ErrorKind::InvalidSettings, outcome.message};
    case ControlOutcome::Status::NotFound:
        return {ErrorKind::NotFound, outcome.message};
    case ControlOutcome::Status::StoreUnavailable:
        return {ErrorKind::StoreUnavailable, "the table service does not answer"};
    default:
        return {ErrorKind::StoreOutcomeUnknown, "the table service's answer was lost; look at the history",
                RunOutcome::Unknown};
    }
}

bool isAccepted(const ControlOutcome &outcome)
{
    return outcome.status == ControlOutcome::Status::InForce || outcome.status == ControlOutcome::Status::Waiting;
}

void answerOutcome(httplib::Response &response, const ControlOutcome &outcome)
{
    if (isAccepted(outcome)) {
        const bool inForce = outcome.status == ControlOutcome::Status::InForce;
        answerJson(response, {{"version", outcome.version}, {"in_force", inForce}, {"waiting_for", outcome.waitingFor}},
                   inForce ? 200 : 202);
        return;
    }
    const Error error = toError(outcome);
    answerError(response, error.kind(), error.what(), error.outcome());
    if (error.kind() == ErrorKind::Conflict) {
        nlohmann::json body = nlohmann::json::parse(response.body);
        body["current_version"] = outcome.version;
        answerJson(response, body, 409);
    }
}

ControlStatePtr currentControl(DaemonContext *context)
{
    return readOnLoop<ControlStatePtr>(context->loop, readTimeout, [context] {
        return context->control->current();
    });
}

ControlOutcome awaitInForce(DaemonContext *context, ControlVersion version)
{
    return awaitOnLoop<ControlOutcome>(context->loop, changeTimeout, [&](const ControlRegister::OutcomeHandler &done) {
        context->control->awaitInForce(version, done);
    });
}

void showConfig(DaemonContext *context, httplib::Response &response)
{
    const ControlStatePtr state = currentControl(context);
    const ControlOutcome outcome = awaitInForce(context, state->version);
    answerJson(response,
               {{"version", state->version},
                {"digest", tablesDigest(state->routesText, state->poolsText)},
                {"routes", state->routesText},
                {"pools", state->poolsText},
                {"data_centres_out", state->dataCentresOut},
                {"in_force", outcome.status == ControlOutcome::Status::InForce},
                {"waiting_for", outcome.waitingFor}});
}

void checkConfig(DaemonContext *context, const httplib::Request &request, httplib::Response &response)
{
    const nlohmann::json body = parseBody(request);
    ControlState proposed = parseTables(body.at("routes").get<std::string>(), body.at("pools").get<std::string>());
    const ControlStatePtr state = currentControl(context);
    proposed.dataCentresOut = state->dataCentresOut;
    answerJson(response, {{"ok", true}, {"findings", nlohmann::json::array()}, {"diff", diffTables(*state, proposed)}});
}

ChangeOrigin parseOrigin(const nlohmann::json &body)
{
    ChangeOrigin origin;
    origin.changeId = body.at("change_id").get<std::string>();
    origin.who = body.at("who").get<std::string>();
    origin.why = body.at("why").get<std::string>();
    if (origin.changeId.empty() || origin.who.empty() || origin.why.empty()) {
        throw Error(ErrorKind::InvalidArgument, "change_id, who and why must not be empty");
    }
    return origin;
}

void applyConfig(DaemonContext *context, const httplib::Request &request, httplib::Response &response)
{
    const nlohmann::json body = parseBody(request);
    ControlChange change;
    change.origin = parseOrigin(body);
    change.expectedVersion = body.at("expected_version").get<ControlVersion>();
    change.content.routesText = body.at("routes").get<std::string>();
    change.content.poolsText = body.at("pools").get<std::string>();
    parseTables(change.content.routesText, change.content.poolsText);
    const std::string reviewedDigest = body.at("digest").get<std::string>();
    if (reviewedDigest != tablesDigest(change.content.routesText, change.content.poolsText)) {
        throw Error(ErrorKind::DigestMismatch, "the content is not the one that was reviewed");
    }
    const ControlOutcome outcome =
        awaitOnLoop<ControlOutcome>(context->loop, changeTimeout, [&](const ControlRegister::OutcomeHandler &done) {
            // Safe to copy from the current state: if that is not the expected version, propose() reports a conflict.
            change.content.dataCentresOut = context->control->current()->dataCentresOut;
            change.expectedDigest = change.content.digest();
            context->control->propose(change, done);
        });
    answerOutcome(response, outcome);
}

void showVersion(DaemonContext *context, const httplib::Request &request, httplib::Response &response)
{
    const ControlVersion version = std::stoull(request.matches[1]);
    if (version > currentControl(context)->version) {
        throw Error(ErrorKind::NotFound, "no version " + std::to_string(version) + " is known here");
    }
    const ControlOutcome outcome = awaitInForce(context, version);
    answerJson(response,
               {{"version", version},
                {"in_force", outcome.status == ControlOutcome::Status::InForce},
                {"waiting_for", outcome.waitingFor}});
}

std::size_t historyLimit(const httplib::Request &request)
{
    if (!request.has_param("limit")) {
        return defaultHistoryLimit;
    }
    const int limit = std::atoi(request.get_param_value("limit").c_str());
    if (limit < 1 || static_cast<std::size_t>(limit) > maxHistoryLimit) {
        throw Error(ErrorKind::InvalidArgument, "limit must be from 1 to " + std::to_string(maxHistoryLimit));
    }
    return static_cast<std::size_t>(limit);
}

void showHistory(DaemonContext *context, const httplib::Request &request, httplib::Response &response)
{
    const std::size_t limit = historyLimit(request);
    using Entries = std::optional<std::vector<ControlHistoryEntry>>;
    const Entries entries =
        awaitOnLoop<Entries>(context->loop, changeTimeout, [&](const std::function<void(const Entries &)> &done) {
            context->control->history(limit, [done](bool available, const std::vector<ControlHistoryEntry> &found) {
                done(available ? Entries(found) : std::nullopt);
            });
        });
    if (!entries) {
        throw Error(ErrorKind::StoreUnavailable, "the table service does not answer");
    }
    nlohmann::json changes = nlohmann::json::array();
    for (const ControlHistoryEntry &entry : *entries) {
        changes.push_back(toJson(entry));
    }
    answerJson(response, {{"changes", changes}});
}

using DataCentreMethod = void (ControlRegister::*)(const DataCentreId &, const ChangeOrigin &,
                                                   ControlRegister::OutcomeHandler);

void changeDataCentre(DaemonContext *context, DataCentreMethod method, const httplib::Request &request,
                      httplib::Response &response)
{
    const ChangeOrigin origin = parseOrigin(parseBody(request));
    const DataCentreId dataCentre = request.matches[1];
    const ControlOutcome outcome =
        awaitOnLoop<ControlOutcome>(context->loop, changeTimeout, [&](const ControlRegister::OutcomeHandler &done) {
            (context->control->*method)(dataCentre, origin, done);
        });
    answerOutcome(response, outcome);
}

/// One line of `datacentre list`.
struct DataCentreSummary
{
    int workers = 0;
    int entryVms = 0;
    int tasksRunning = 0;
};

void listDataCentres(DaemonContext *context, httplib::Response &response)
{
    const ControlStatePtr state = currentControl(context);
    std::map<DataCentreId, DataCentreSummary> summaries;
    const std::vector<VmEntry> vms = readOnLoop<std::vector<VmEntry>>(context->loop, readTimeout, [context] {
        return context->vms->entries();
    });
    for (const VmEntry &vm : vms) {
        DataCentreSummary &summary = summaries[vm.dataCentre];
        (vm.kind == VmEntry::Kind::Worker ? summary.workers : summary.entryVms) += 1;
    }
    using Answers = std::vector<PeerQuery::Answer>;
    const Answers answers = awaitOnLoop<Answers>(context->loop, readTimeout, [context](const PeerQuery::Handler &done) {
        context->peerQuery->askAll("workers", nlohmann::json::object(), done);
    });
    for (const PeerQuery::Answer &answer : answers) {
        for (const nlohmann::json &worker : answer.body.at("workers")) {
            summaries[worker.at("data_centre").get<DataCentreId>()].tasksRunning += worker.at("attempts").get<int>();
        }
    }
    nlohmann::json out = nlohmann::json::array();
    for (const auto &[name, summary] : summaries) {
        out.push_back({{"name", name},
                       {"out", state->dataCentresOut.count(name) > 0},
                       {"workers", summary.workers},
                       {"entry_vms", summary.entryVms},
                       {"tasks_running", summary.tasksRunning}});
    }
    answerJson(response, {{"data_centres", out}});
}

} // namespace

void addConfigApi(httplib::Server *server, DaemonContext *context)
{
    server->Get("/v1/config", withErrorHandling([context](const httplib::Request &, httplib::Response &response) {
                    showConfig(context, response);
                }));
    server->Post("/v1/config/check",
                 withErrorHandling([context](const httplib::Request &request, httplib::Response &response) {
                     checkConfig(context, request, response);
                 }));
    server->Post("/v1/config",
                 withErrorHandling([context](const httplib::Request &request, httplib::Response &response) {
                     applyConfig(context, request, response);
                 }));
    server->Get("/v1/config/version/([0-9]{1,18})",
                withErrorHandling([context](const httplib::Request &request, httplib::Response &response) {
                    showVersion(context, request, response);
                }));
    const httplib::Server::Handler history =
        withErrorHandling([context](const httplib::Request &request, httplib::Response &response) {
            showHistory(context, request, response);
        });
    server->Get("/v1/config/history", history);
    server->Get("/v1/audit", history);
}

void addDataCentresApi(httplib::Server *server, DaemonContext *context)
{
    server->Get("/v1/datacentres", withErrorHandling([context](const httplib::Request &, httplib::Response &response) {
                    listDataCentres(context, response);
                }));
    server->Post("/v1/datacentres/([^/]+)/out",
                 withErrorHandling([context](const httplib::Request &request, httplib::Response &response) {
                     changeDataCentre(context, &ControlRegister::takeOutOfService, request, response);
                 }));
    server->Post("/v1/datacentres/([^/]+)/in",
                 withErrorHandling([context](const httplib::Request &request, httplib::Response &response) {
                     changeDataCentre(context, &ControlRegister::returnToService, request, response);
                 }));
}

} // namespace fescueledge
