#include "decide/adm.h"

#include "base/err.h"
#include "decide/ddl.h"
#include "decide/req.h"

#define ADM_RETRY_AFTER_MIN_MS 200
#define ADM_RETRY_AFTER_MAX_MS 30000
#define ADM_HEADROOM 1.0 /* of a rank's recent peak, for which room is kept */

static struct adm_verdict admit(void)
{
	return (struct adm_verdict){.code = ERR_NONE};
}

int64_t adm_retry_after_ms(struct bb *bb, const struct req *req)
{
	const struct bb_service *service = req->stages[req->stage].service;
	int32_t before = g_sequence_get_length(service->waiting) + service->in_flight;
	int64_t drain_ms = ddl_drain_ms(service, before, service->capacity);

	drain_ms = CLAMP(drain_ms, ADM_RETRY_AFTER_MIN_MS, ADM_RETRY_AFTER_MAX_MS);
	return drain_ms + (int64_t)prng_below(&bb->prng, (uint64_t)drain_ms);
}

static struct adm_verdict refuse(struct bb *bb, const struct req *req, int code)
{
	return (struct adm_verdict){
		.code = code,
		.retry_after_ms = adm_retry_after_ms(bb, req),
	};
}

static struct adm_verdict open_judge(struct bb *bb, const struct req *req, int64_t now_ms)
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

/* True when a stage still to be done has no upstream in the configuration. */
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
		return req->deadline_at_ms - ddl_likely_left_ms(req);
	return req->stream_open ? req->deadline_at_ms : ddl_stage_end_ms(req);
}

static struct adm_verdict judge(struct bb *bb, const struct req *req, int64_t start_ms,
				int64_t now_ms)
{
	if (now_ms >= req->deadline_at_ms)
		return refuse(bb, req, ERR_DEADLINE_EXPIRED);
	if (lacks_upstream(req))
		return refuse(bb, req, ERR_NO_UPSTREAM);
	if (start_ms + ddl_likely_left_ms(req) > req->deadline_at_ms)
		return refuse(bb, req, ERR_DEADLINE_UNREACHABLE);
	return admit();
}

/* Requests of a rank that a service has to leave room for, beside those that run. */
static int64_t kept_for(const struct bb *bb, const struct bb_service *service, uint32_t rank,
			int64_t width)
{
	const struct cfg_accounts *accounts = &bb->cfg->accounts;
	const struct bb_use *use = &service->uses[rank];
	int64_t wanted = (int64_t)(use->peak * ADM_HEADROOM) + 1;
	int64_t reserved = 0;

	for (uint32_t i = 0; i < accounts->n_classes; i++) {
		if (bb_rank(accounts->classes[i].rank) == rank)
			reserved += width * accounts->classes[i].reserved_pct / 100;
	}
	return MAX(MIN(reserved, wanted) - use->in_flight, 0);
}

static int64_t kept_before(const struct bb *bb, const struct bb_service *service, int64_t rank,
			   int64_t width)
{
	int64_t kept = 0;

	for (uint32_t i = 0; i < bb_rank(rank); i++)
		kept += kept_for(bb, service, i, width);
	return kept;
}

static int64_t width_of(const struct bb *bb, const struct bb_service *service)
{
	int64_t width = service->capacity;

	if (bb->stage_workers > 0 && (width > bb->stage_workers || width == 0))
		width = bb->stage_workers;
	return width;
}

/* What a rank can have of a service while the ranks before it stay as they are. */
static int64_t width_for(const struct bb *bb, const struct bb_service *service, int64_t rank)
{
	int64_t width = width_of(bb, service);

	width -= kept_before(bb, service, rank, width);
	for (uint32_t i = 0; i < bb_rank(rank); i++)
		width -= service->uses[i].in_flight;
	return MAX(width, 1);
}

/* Requests that wait for a service and go before one of this rank that comes now. */
static int32_t count_before(const struct bb_service *service, int64_t rank)
{
	int32_t from = 0;
	int32_t to = g_sequence_get_length(service->waiting);

	while (from < to) {
		int32_t middle = from + (to - from) / 2;
		const struct req *waits =
			g_sequence_get(g_sequence_get_iter_at_pos(service->waiting, middle));
		if (waits->rank <= rank)
			from = middle + 1;
		else
			to = middle;
	}
	return from;
}

/* Time in the queues of the stages to be done, as they stand. */
static int64_t queues_ms(const struct bb *bb, const struct req *req)
{
	int64_t sum_ms = 0;

	for (uint32_t i = req->stage; i < req->n_stages; i++) {
		const struct bb_service *service = req->stages[i].service;
		int32_t ends = count_before(service, req->rank);
		/* with no room, one more has to end */
		ends += service->in_flight >= width_of(bb, service);
		sum_ms += ddl_drain_ms(service, ends, width_for(bb, service, req->rank));
	}
	return sum_ms;
}

static struct adm_verdict priority_arrive(struct bb *bb, const struct req *req, int64_t now_ms)
{
	return judge(bb, req, now_ms + queues_ms(bb, req), now_ms);
}

static struct adm_verdict priority_wait(struct bb *bb, const struct req *req, int64_t now_ms)
{
	return judge(bb, req, now_ms, now_ms);
}

static struct adm_verdict priority_run(struct bb *bb, const struct req *req, int64_t now_ms)
{
	if (now_ms >= req->deadline_at_ms)
		return refuse(bb, req, ERR_DEADLINE_EXPIRED);
	if (now_ms >= priority_give_up_at(req))
		return refuse(bb, req, ERR_DEADLINE_UNREACHABLE);
	return admit();
}

/*
 * A class starts only below what is kept for the classes before it: their reserved share, as far
 * as their recent peak asks for it. One may always run.
 */
static bool priority_may_start(const struct bb *bb, const struct req *req)
{
	const struct bb_service *service = req->stages[req->stage].service;
	int64_t width = width_of(bb, service);

	return service->in_flight == 0 || (width == 0 && req->rank == 0) ||
	       service->in_flight + kept_before(bb, service, req->rank, width) < width;
}

static int compare_rank(const struct req *a, const struct req *b)
{
	if (a->rank != b->rank)
		return a->rank < b->rank ? -1 : 1;
	return compare_arrival(a, b);
}

const struct adm_ops adm_open = {
	.name = "open",
	.arrive = open_judge,
	.wait = open_judge,
	.run = open_judge,
	.may_start = open_may_start,
	.give_up_at_ms = open_give_up_at,
	.compare = compare_arrival,
};

const struct adm_ops adm_priority = {
	.name = "priority",
	.arrive = priority_arrive,
	.wait = priority_wait,
	.run = priority_run,
	.may_start = priority_may_start,
	.give_up_at_ms = priority_give_up_at,
	.compare = compare_rank,
};
