#include "operatorapi_pvt.h"

#include "apierror_pvt.h"
#include "daemoncontext_pvt.h"
#include "fescueledge/controlstate.h"
#include "fescueledge/jobqueue.h"
#include "fescueledge/nodeauthority.h"
#include "fescueledge/requestdispatcher.h"
#include "fescueledge/workercontroller.h"
#include "looprequest_pvt.h"
#include "operatorjson_pvt.h"
#include "peerquery_pvt.h"

namespace fescueledge {

namespace {

using Answers = std::vector<PeerQuery::Answer>;

constexpr Milliseconds viewTimeout{5000};
constexpr Milliseconds queueTimeout{15000};

Answers askAllNodes(DaemonContext *context, const std::string &kind, const nlohmann::json &question)
{
    return awaitOnLoop<Answers>(context->loop, viewTimeout, [&](const PeerQuery::Handler &done) {
        context->peerQuery->askAll(kind, question, done);
    });
}

nlohmann::json localStatus(DaemonContext *context)
{
    const NodeAuthority *authority = context->authority;
    const Milliseconds actFor = std::chrono::duration_cast<Milliseconds>(authority->actUntil() - context->loop->now());
    nlohmann::json shards = nlohmann::json::array();
    for (const ShardId &shard : authority->ownedShards()) {
        shards.push_back(
            {{"shard", shard}, {"owner", authority->self()}, {"epoch", authority->ownedEpoch(shard).value_or(0)}});
    }
    return {{"node", authority->self()},
            {"incarnation", authority->incarnation()},
            {"acting", actFor.count() > 0},
            {"act_for_ms", std::max<Milliseconds::rep>(actFor.count(), 0)},
            {"control_version", authority->control()->version},
            {"draining", context->draining.load()},
            {"shards", shards}};
}

nlohmann::json localWorkers(DaemonContext *context)
{
    nlohmann::json workers = nlohmann::json::array();
    for (const WorkerStatus &status : context->workers->status()) {
        workers.push_back(toJson(status));
    }
    return {{"workers", workers}};
}

nlohmann::json localTaskDecisions(DaemonContext *context, const nlohmann::json &question)
{
    nlohmann::json decisions = nlohmann::json::array();
    for (const PlacementDecision &decision : context->workers->explain(question.at("task").get<TaskId>())) {
        decisions.push_back(toJson(decision));
    }
    return {{"decisions", decisions}};
}

nlohmann::json localRequestDecision(DaemonContext *context, const nlohmann::json &question)
{
    const std::optional<DecisionRecord> record =
        context->dispatcher->explain(question.at("request").get<std::string>());
    return {{"record", record ? toJson(*record) : nlohmann::json()}};
}

void showStatus(DaemonContext *context, httplib::Response &response)
{
    nlohmann::json out = readOnLoop<nlohmann::json>(context->loop, viewTimeout, [context] {
        return localStatus(context);
    });
    out["nodes"] = nlohmann::json::array();
    out["shards"] = nlohmann::json::array();
    for (PeerQuery::Answer &answer : askAllNodes(context, "status", nlohmann::json::object())) {
        for (const nlohmann::json &shard : answer.body.at("shards")) {
            out["shards"].push_back(shard);
        }
        answer.body.erase("shards");
        out["nodes"].push_back(answer.body);
    }
    out["workers"] = nlohmann::json::array();
    for (const PeerQuery::Answer &answer : askAllNodes(context, "workers", nlohmann::json::object())) {
        for (const nlohmann::json &worker : answer.body.at("workers")) {
            out["workers"].push_back(worker);
            out["workers"].back()["owner"] = answer.node;
        }
    }
    answerJson(response, out);
}

void explainTask(DaemonContext *context, const httplib::Request &request, httplib::Response &response)
{
    const TaskId task = request.matches[1];
    const JobQueue::ExplainResult result =
        awaitOnLoop<JobQueue::ExplainResult>(context->loop, queueTimeout, [&](const JobQueue::ExplainHandler &done) {
            context->queue->explain(task, done);
        });
    if (result.error) {
        throw Error(*result.error);
    }
    nlohmann::json out = result.explanation;
    out["decisions"] = nlohmann::json::array();
    for (const PeerQuery::Answer &answer : askAllNodes(context, "explain-task", {{"task", task}})) {
        for (const nlohmann::json &decision : answer.body.at("decisions")) {
            out["decisions"].push_back(decision);
            out["decisions"].back()["node"] = answer.node;
        }
    }
    answerJson(response, out);
}

void explainRequest(DaemonContext *context, const httplib::Request &request, httplib::Response &response)
{
    const std::string id = request.matches[1];
    nlohmann::json records = nlohmann::json::array();
    for (const PeerQuery::Answer &answer : askAllNodes(context, "explain-request", {{"request", id}})) {
        if (!answer.body.at("record").is_null()) {
            records.push_back(answer.body.at("record"));
            records.back()["node"] = answer.node;
        }
    }
    if (records.empty()) {
        throw Error(ErrorKind::NotFound, "no node keeps a decision about request " + id);
    }
    answerJson(response, {{"request", id}, {"records", records}});
}

} // namespace

void setViewAnswerFunctions(PeerQuery *peerQuery, DaemonContext *context)
{
    peerQuery->setAnswerFunction("status", [context](const nlohmann::json &) {
        return localStatus(context);
    });
    peerQuery->setAnswerFunction("workers", [context](const nlohmann::json &) {
        return localWorkers(context);
    });
    peerQuery->setAnswerFunction("explain-task", [context](const nlohmann::json &question) {
        return localTaskDecisions(context, question);
    });
    peerQuery->setAnswerFunction("explain-request", [context](const nlohmann::json &question) {
        return localRequestDecision(context, question);
    });
}

void addViewsApi(httplib::Server *server, DaemonContext *context)
{
    server->Get("/v1/status", withErrorHandling([context](const httplib::Request &, httplib::Response &response) {
                    showStatus(context, response);
                }));
    server->Get("/v1/explain/task/(.+)",
                withErrorHandling([context](const httplib::Request &request, httplib::Response &response) {
                    explainTask(context, request, response);
                }));
    server->Get("/v1/explain/request/([^/]+)",
                withErrorHandling([context](const httplib::Request &request, httplib::Response &response) {
                    explainRequest(context, request, response);
                }));
}

} // namespace fescueledge
