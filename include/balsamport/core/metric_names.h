#ifndef BALSAMPORT_CORE_METRIC_NAMES_H
#define BALSAMPORT_CORE_METRIC_NAMES_H

#include <balsamport/core/metrics.h>

#include <array>

namespace balsamport::metric {

constexpr MetricInfo requests{"balsamport_requests_total", MetricKind::Counter, "path",
                              "Requests that came in"};
constexpr MetricInfo outcomes{"balsamport_outcomes_total", MetricKind::Counter, "outcome",
                              "Answers by outcome: ran, not-run, unknown"};
constexpr MetricInfo refusals{"balsamport_refusals_total", MetricKind::Counter, "type",
                              "Refused or failed requests by type of error"};
constexpr MetricInfo firstToken{"balsamport_first_token_seconds", MetricKind::Summary, "",
                                "From the request's arrival to the first piece of its answer"};
constexpr MetricInfo loadStall{"balsamport_load_stall_seconds", MetricKind::Summary, "",
                               "Time that a request waited for its adapter to load"};
constexpr MetricInfo queueWait{"balsamport_queue_wait_seconds", MetricKind::Summary, "",
                               "Time that a request waited for its grant"};
constexpr MetricInfo claimLatency{"balsamport_claim_seconds", MetricKind::Summary, "",
                                  "Time to claim a key at the witnesses"};
constexpr MetricInfo retries{"balsamport_retries_total", MetricKind::Counter, "reason",
                             "Requests that were sent again"};
constexpr MetricInfo batchFill{"balsamport_batch_fill_ratio", MetricKind::Gauge, "backend_server",
                               "Running requests by places of the batch"};
constexpr MetricInfo queueDepth{"balsamport_queue_depth", MetricKind::Gauge, "backend_server",
                                "Requests that wait for a grant"};
constexpr MetricInfo loads{"balsamport_loads_total", MetricKind::Counter, "",
                           "Adapter loads that this VM's controller ordered"};
constexpr MetricInfo linkBytes{"balsamport_link_bytes_total", MetricKind::Counter, "",
                               "Bytes taken from the budget of the link between regions"};
constexpr MetricInfo revision{"balsamport_config_revision", MetricKind::Gauge, "",
                              "Revision of the configuration in force"};
constexpr MetricInfo revisionAge{"balsamport_config_age_seconds", MetricKind::Gauge, "",
                                 "Time since the configuration in force was accepted"};
constexpr MetricInfo platformReachable{"balsamport_platform_reachable", MetricKind::Gauge, "",
                                       "1 where the controller hears from the platform, else 0"};
constexpr MetricInfo platformCalls{"balsamport_platform_calls_total", MetricKind::Counter, "",
                                   "Calls to the configuration service"};
constexpr MetricInfo viewConfirmed{"balsamport_view_confirmed", MetricKind::Gauge, "",
                                   "1 where the view of the members is confirmed, else 0"};
constexpr MetricInfo quarantined{"balsamport_quarantined_fingerprints", MetricKind::Gauge, "",
                                 "Requests that are refused because they crash backend servers"};
constexpr MetricInfo wireBytes{
        "balsamport_wire_bytes_total", MetricKind::Counter, "direction",
        "Bytes of this VM's controller to and from other daemons: sent, received"};
constexpr MetricInfo connections{"balsamport_connections", MetricKind::Gauge, "",
                                 "Callers' connections that are open"};

constexpr MetricInfo edgeAnswers{"balsamport_edge_answers_total", MetricKind::Counter, "outcome",
                                 "Answers of the edge daemon by outcome"};
constexpr MetricInfo edgeFailures{"balsamport_edge_failures_total", MetricKind::Counter, "error",
                                  "Requests that the edge daemon refused or failed, by error"};
constexpr MetricInfo edgeBrokenStreams{"balsamport_edge_broken_streams_total", MetricKind::Counter,
                                       "error",
                                       "Streams that ended before their last event, by error"};
constexpr MetricInfo edgeFirstPiece{"balsamport_edge_first_piece_seconds", MetricKind::Summary,
                                    "route", "From a request's arrival to its first piece"};
constexpr MetricInfo edgeWait{"balsamport_edge_wait_seconds", MetricKind::Summary, "",
                              "From a request's arrival until it was sent to a backend server"};
constexpr MetricInfo edgeRetries{"balsamport_edge_retries_total", MetricKind::Counter, "reason",
                                 "Second sends that the shared budget allowed"};
constexpr MetricInfo edgeNotices{"balsamport_edge_server_notices_total", MetricKind::Counter,
                                 "kind",
                                 "Answers by which backend servers said that they leave or pause"};
constexpr MetricInfo edgeMalformedResponses{
        "balsamport_edge_malformed_responses_total", MetricKind::Counter, "call",
        "Answers whose bytes were no HTTP response, by call: request, control"};
constexpr MetricInfo edgeCrashReports{
        "balsamport_edge_crash_reports_total", MetricKind::Counter, "origin",
        "Reports of a request that was in progress when its backend server ended, by origin"};
constexpr MetricInfo edgeSuspects{
        "balsamport_edge_crash_suspects", MetricKind::Gauge, "",
        "Requests and prompt parts that were in progress when a backend server ended"};
constexpr MetricInfo edgeConvicted{
        "balsamport_edge_convicted_suspects", MetricKind::Gauge, "",
        "Requests and prompt parts that are refused because they end backend servers"};
constexpr MetricInfo edgeQuarantined{
        "balsamport_edge_quarantined_requests_total", MetricKind::Counter, "suspect",
        "Requests refused because they, or a part of their prompts, end backend servers"};
constexpr MetricInfo edgeOrders{"balsamport_edge_orders_total", MetricKind::Counter, "outcome",
                                "Orders given to engines, by the engine's answer"};
constexpr MetricInfo edgeLoadTime{"balsamport_edge_load_seconds", MetricKind::Summary, "",
                                  "From the order to load an adapter until it is in place"};
constexpr MetricInfo edgePeers{"balsamport_edge_live_daemons", MetricKind::Gauge, "",
                               "Daemons that are alive as this one sees it, itself included"};
constexpr MetricInfo edgeOwned{"balsamport_edge_owned_engines", MetricKind::Gauge, "",
                               "Engines that this daemon gives orders to"};
constexpr MetricInfo edgeWaiting{"balsamport_edge_waiting_requests", MetricKind::Gauge, "",
                                 "Requests that wait for a place on the engines owned here"};
constexpr MetricInfo edgePublishedAge{"balsamport_edge_published_age_seconds", MetricKind::Gauge,
                                      "", "Since the platform's entries were last confirmed"};
constexpr MetricInfo edgeMemory{"balsamport_edge_memory_bytes", MetricKind::Gauge, "part",
                                "Memory of the process and of the parts that may grow"};
constexpr MetricInfo edgeDroppedMessages{
        "balsamport_edge_dropped_messages", MetricKind::Gauge, "direction",
        "Messages between daemons that were dropped because too many waited, since the start"};
constexpr MetricInfo edgeConfigVersion{"balsamport_edge_config_version", MetricKind::Gauge, "",
                                       "Version of the configuration in force"};
constexpr MetricInfo edgeStoreCalls{"balsamport_edge_store_calls_total", MetricKind::Counter, "",
                                    "Calls of this daemon to the platform's store"};
constexpr MetricInfo edgeLimitedServers{
        "balsamport_edge_limited_servers", MetricKind::Gauge, "",
        "Backend servers that state a limit of requests per second"};
constexpr MetricInfo edgeOldestLimit{
        "balsamport_edge_oldest_limit_seconds", MetricKind::Gauge, "",
        "Since a response last stated the limit, for the limit stated longest ago"};
constexpr MetricInfo edgeLimitedRequests{
        "balsamport_edge_limited_requests_total", MetricKind::Counter, "outcome",
        "Requests for backend servers with a limit: sent, or why they were withheld"};
constexpr MetricInfo edgePermits{
        "balsamport_edge_permits_total", MetricKind::Counter, "outcome",
        "Decisions on permits for backend servers with a limit, as their issuer"};
constexpr MetricInfo edgeQuotaRequests{
        "balsamport_edge_quota_requests_total", MetricKind::Counter, "outcome",
        "Requests of organisations with a quota: admitted, refused, returned"};
constexpr MetricInfo edgeQuotaUse{
        "balsamport_edge_quota_use_ratio", MetricKind::Gauge, "organisation",
        "Demand of all daemons for an organisation, by its quota, as this daemon sees it"};
constexpr MetricInfo edgeEngineLoad{
        "balsamport_edge_engine_load_ratio", MetricKind::Gauge, "",
        "Load of the busiest engine by the mean, as this daemon sees it"};
constexpr MetricInfo edgeDelay{
        "balsamport_edge_longest_delay_seconds", MetricKind::Gauge, "stage",
        "Longest wait in the last two seconds: of requests read until the event loop handled them, "
        "of tasks of the event loop, and of responses until they were written"};
constexpr MetricInfo edgeRefusedConnections{
        "balsamport_edge_refused_connections_total", MetricKind::Counter, "reason",
        "Callers' connections that were ended to stay within limits: memory, connections, slow"};
constexpr MetricInfo logDrops{"balsamport_log_dropped_lines", MetricKind::Gauge, "",
                              "Log lines that were dropped since the start"};

/// All metrics. Must match the list of docs/METRICS.md.
inline constexpr std::array all{
        requests,
        outcomes,
        refusals,
        firstToken,
        loadStall,
        queueWait,
        claimLatency,
        retries,
        batchFill,
        queueDepth,
        loads,
        linkBytes,
        revision,
        revisionAge,
        platformReachable,
        platformCalls,
        viewConfirmed,
        quarantined,
        wireBytes,
        connections,
        edgeAnswers,
        edgeFailures,
        edgeBrokenStreams,
        edgeFirstPiece,
        edgeWait,
        edgeRetries,
        edgeNotices,
        edgeMalformedResponses,
        edgeCrashReports,
        edgeSuspects,
        edgeConvicted,
        edgeQuarantined,
        edgeOrders,
        edgeLoadTime,
        edgePeers,
        edgeOwned,
        edgeWaiting,
        edgePublishedAge,
        edgeMemory,
        edgeDroppedMessages,
        edgeConfigVersion,
        edgeStoreCalls,
        edgeLimitedServers,
        edgeOldestLimit,
        edgeLimitedRequests,
        edgePermits,
        edgeQuotaRequests,
        edgeQuotaUse,
        edgeEngineLoad,
        edgeDelay,
        edgeRefusedConnections,
        logDrops,
};

} // namespace balsamport::metric

#endif
