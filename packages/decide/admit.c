#include "decide/admit.h"

#include "base/err.h"
#include "decide/deadline.h"
#include "decide/req.h"

#define ADMIT_RETRY_AFTER_MIN_MS 200
#define ADMIT_RETRY_AFTER_MAX_MS 30000

/* fraction of a rank's recent peak of attempts in flight that may be reserved for it */
#define ADMIT_RESERVED_PEAK_FRACTION 1.0

static struct admit_verdict admit(void)
{
	return (struct admit_verdict){.code = ERR_NONE};
}

int64_t admit_retry_after_ms(struct bb *bb, const struct req *req)
{
	const struct bb_service *service = req->stages[req->stage].service;
	int32_t before = g_sequence_get_length(service->waiting) + service->in_flight;
	int64_t serve_ms = deadline_time_to_serve_ms(service, before, service->capacity);

	serve_ms = CLAMP(serve_ms, ADMIT_RETRY_AFTER_MIN_MS, ADMIT_RETRY_AFTER_MAX_MS);
	return serve_ms + (int64_t)prng_below(&bb->prng, (uint64_t)serve_ms);
}

static struct admit_verdict refuse(struct bb *bb, const struct req *req, int code)
{
	return (struct admit_verdict){
		.code = code,
		.retry_after_ms = admit_retry_after_ms(bb, req),
	};
}

static struct admit_verdict open_check(struct bb *bb, const struct req *req, int64_t now_ms)
{
	return now_ms >= req->deadline_at_ms ? refuse(bb, req, ERR_DEADLINE_EXPIRED) : admit();
}

static bool open_may_start(const struct bb *bb, const struct req *req)
{
	return true;
}

static int64_t open_give_up_at(const struct req *req)
{
	return req->deadline_at_ms;
}

static int compare_arrival(const struct req *a, const struct req *b)
{
	return (a->arrived_ms > b->arrived_ms) - (a->arrived_ms < b->arrived_ms);
}

/* True when a remaining stage has no upstream in the configuration. */
static bool lacks_upstream(const struct req *req)
{
	for (uint32_t i = req->stage; i < req->n_stages; i++) {
		if (req->stages[i].service->upstreams->len == 0)
			return true;
	}
	return false;
}

static int64_t priority_give_up_at(const struct req *req)
{
	if (req->waiting)
		return req->deadline_at_ms - deadline_expected_ms(req);
	return req->stream_open ? req->deadline_at_ms : deadline_stage_end_ms(req);
}

static struct admit_verdict check(struct bb *bb, const struct req *req, int64_t start_ms,
				  int64_t now_ms)
{
	if (now_ms >= req->deadline_at_ms)
		return refuse(bb, req, ERR_DEADLINE_EXPIRED);
	if (lacks_upstream(req))
		return refuse(bb, req, ERR_NO_UPSTREAM);
	if (start_ms + deadline_expected_ms(req) > req->deadline_at_ms)
		return refuse(bb, req, ERR_DEADLINE_UNREACHABLE);
	return admit();
}

/* Returns the part of the capacity reserved for a rank that the rank does not use now. */
static int64_t reserved_for(const struct bb *bb, const struct bb_service *service, uint32_t rank,
			    int64_t concurrency)
{
	const struct cfg_accounts *accounts = &bb->cfg->accounts;
	const struct bb_rank_use *use = &service->uses[rank];
	int64_t wanted = (int64_t)(use->peak * ADMIT_RESERVED_PEAK_FRACTION) + 1;
	int64_t reserved = 0;

	for (uint32_t i = 0; i < accounts->n_classes; i++) {
		if (bb_rank_index(accounts->classes[i].rank) == rank)
			reserved += concurrency * accounts->classes[i].reserved_pct / 100;
	}
	return MAX(MIN(reserved, wanted) - use->in_flight, 0);
}

/* Returns the unused part of the capacity reserved for all better ranks. */
static int64_t reserved_for_better(const struct bb *bb, const struct bb_service *service,
				   int64_t rank, int64_t concurrency)
{
	int64_t sum = 0;

	for (uint32_t i = 0; i < bb_rank_index(rank); i++)
		sum += reserved_for(bb, service, i, concurrency);
	return sum;
}

/* Returns the limit of this node's concurrent requests at a service; 0 when none is known. */
static int64_t service_concurrency(const struct bb *bb, const struct bb_service *service)
{
	int64_t concurrency = service->capacity;

	if (bb->stage_workers > 0 && (concurrency > bb->stage_workers || concurrency == 0))
		concurrency = bb->stage_workers;
	return concurrency;
}

/* Returns the capacity of a service that the better ranks leave to a rank; at least 1. */
static int64_t concurrency_for_rank(const struct bb *bb, const struct bb_service *service,
				    int64_t rank)
{
	int64_t concurrency = service_concurrency(bb, service);

	concurrency -= reserved_for_better(bb, service, rank, concurrency);
	for (uint32_t i = 0; i < bb_rank_index(rank); i++)
		concurrency -= service->uses[i].in_flight;
	return MAX(concurrency, 1);
}

/* Returns the number of queued requests that precede a new one of this rank, by binary search. */
static int32_t count_queued_before(const struct bb_service *service, int64_t rank)
{
	int32_t from = 0;
	int32_t to = g_sequence_get_length(service->waiting);

	while (from < to) {
		int32_t middle = from + (to - from) / 2;
		const struct req *queued =
			g_sequence_get(g_sequence_get_iter_at_pos(service->waiting, middle));
		if (queued->rank <= rank)
			from = middle + 1;
		else
			to = middle;
	}
	return from;
}

/* Estimates the time that a new request waits in the queues of all its stages, as they are now. */
static int64_t queue_wait_ms(const struct bb *bb, const struct req *req)
{
	int64_t sum_ms = 0;

	for (uint32_t i = req->stage; i < req->n_stages; i++) {
		const struct bb_service *service = req->stages[i].service;
		int32_t ahead = count_queued_before(service, req->rank);
		/* without free capacity, one running request has to end as well */
		ahead += service->in_flight >= service_concurrency(bb, service);
		sum_ms += deadline_time_to_serve_ms(service, ahead,
						    concurrency_for_rank(bb, service, req->rank));
	}
	return sum_ms;
}

static struct admit_verdict priority_arrive(struct bb *bb, const struct req *req, int64_t now_ms)
{
	return check(bb, req, now_ms + queue_wait_ms(bb, req), now_ms);
}

static struct admit_verdict priority_wait(struct bb *bb, const struct req *req, int64_t now_ms)
{
	return check(bb, req, now_ms, now_ms);
}

static struct admit_verdict priority_run(struct bb *bb, const struct req *req, int64_t now_ms)
{
	if (now_ms >= req->deadline_at_ms)
		return refuse(bb, req, ERR_DEADLINE_EXPIRED);
	if (now_ms >= priority_give_up_at(req))
		return refuse(bb, req, ERR_DEADLINE_UNREACHABLE);
	return admit();
}

/*
 * A rank may use the whole capacity of a service except for the part reserved for better ranks,
 * which is their configured share but not more than their recent peak needs. A request may always
 * start on an idle service.
 */
static bool priority_may_start(const struct bb *bb, const struct req *req)
{
	const struct bb_service *service = req->stages[req->stage].service;
	int64_t concurrency = service_concurrency(bb, service);

	return service->in_flight == 0 || (concurrency == 0 && req->rank == 0) ||
	       service->in_flight + reserved_for_better(bb, service, req->rank, concurrency) <
		       concurrency;
}

static int compare_rank(const struct req *a, const struct req *b)
{
	if (a->rank != b->rank)
		return a->rank < b->rank ? -1 : 1;
	return compare_arrival(a, b);
}

const struct admit_ops admit_open = {
	.name = "open",
	.arrive = open_check,
	.wait = open_check,
	.run = open_check,
	.may_start = open_may_start,
	.expires_at_ms = open_give_up_at,
	.compare = compare_arrival,
};

const struct admit_ops admit_priority = {
	.name = "priority",
	.arrive = priority_arrive,
	.wait = priority_wait,
	.run = priority_run,
	.may_start = priority_may_start,
	.expires_at_ms = priority_give_up_at,
	.compare = compare_rank,
};
