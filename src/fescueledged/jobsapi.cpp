#include "jobsapi_pvt.h"

#include "apierror_pvt.h"
#include "daemoncontext_pvt.h"
#include "fescueledge/jobqueue.h"
#include "looprequest_pvt.h"

namespace fescueledge {

namespace {

constexpr Milliseconds queueTimeout{15000};
constexpr const char *defaultCanceller = "caller";

void throwIfFailed(const std::optional<Error> &error)
{
    if (error) {
        throw Error(*error);
    }
}

void submitJob(DaemonContext *context, const httplib::Request &request, httplib::Response &response)
{
    if (context->draining) {
        throw Error(ErrorKind::ShuttingDown, "this node drains");
    }
    const JobSpec spec = parseBody(request).get<JobSpec>();
    const JobQueue::SubmitResult result =
        awaitOnLoop<JobQueue::SubmitResult>(context->loop, queueTimeout, [&](const JobQueue::SubmitHandler &done) {
            context->queue->submit(spec, done);
        });
    throwIfFailed(result.error);
    answerJson(response, {{"job", result.job}, {"existed", result.existed}}, result.existed ? 200 : 201);
}

void showJob(DaemonContext *context, const httplib::Request &request, httplib::Response &response)
{
    const JobId job = request.matches[1];
    const JobQueue::ShowResult result =
        awaitOnLoop<JobQueue::ShowResult>(context->loop, queueTimeout, [&](const JobQueue::ShowHandler &done) {
            context->queue->show(job, done);
        });
    throwIfFailed(result.error);
    answerJson(response, result.status);
}

void listJobs(DaemonContext *context, const httplib::Request &request, httplib::Response &response)
{
    JobFilter filter;
    filter.customer = request.get_param_value("customer");
    filter.team = request.get_param_value("team");
    filter.ended = request.get_param_value("state") == "ended" || request.get_param_value("state") == "all";
    if (request.has_param("limit")) {
        filter.limit = std::atoi(request.get_param_value("limit").c_str());
    }
    const JobQueue::ListResult result =
        awaitOnLoop<JobQueue::ListResult>(context->loop, queueTimeout, [&](const JobQueue::ListHandler &done) {
            context->queue->list(filter, done);
        });
    throwIfFailed(result.error);
    answerJson(response, {{"jobs", result.jobs}});
}

void cancelJob(DaemonContext *context, const httplib::Request &request, httplib::Response &response)
{
    const JobId job = request.matches[1];
    const std::string canceller = request.has_param("who") ? request.get_param_value("who") : defaultCanceller;
    const JobQueue::CancelResult result =
        awaitOnLoop<JobQueue::CancelResult>(context->loop, queueTimeout, [&](const JobQueue::CancelHandler &done) {
            context->queue->cancel(job, canceller, done);
        });
    throwIfFailed(result.error);
    answerJson(response, {{"too_late", result.alreadyEnded}, {"status", result.status}});
}

} // namespace

void addJobsApi(httplib::Server *server, DaemonContext *context)
{
    server->Post("/v1/jobs", withErrorHandling([context](const httplib::Request &request, httplib::Response &response) {
                     submitJob(context, request, response);
                 }));
    server->Get("/v1/jobs", withErrorHandling([context](const httplib::Request &request, httplib::Response &response) {
                    listJobs(context, request, response);
                }));
    server->Get("/v1/jobs/([^/]+)",
                withErrorHandling([context](const httplib::Request &request, httplib::Response &response) {
                    showJob(context, request, response);
                }));
    server->Delete("/v1/jobs/([^/]+)",
                   withErrorHandling([context](const httplib::Request &request, httplib::Response &response) {
                       cancelJob(context, request, response);
                   }));
}

} // namespace fescueledge
