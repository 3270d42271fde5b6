#include "decide/adm.h"

#include "base/err.h"
#include "decide/ddl.h"
#include "decide/req.h"

#define ADM_RETRY_AFTER_MIN_MS 200
#define ADM_RETRY_AFTER_MAX_MS 30000

static struct adm_verdict admit(void)
{
	return (struct adm_verdict){.code = ERR_NONE};
}

int64_t adm_retry_after_ms(struct bb *bb, const struct req *req)
{
	const struct bb_service *service = req->stages[req->stage].service;
	int32_t before = g_sequence_get_length(service->waiting) + service->in_flight;
	int64_t drain_ms = ddl_drain_ms(service, before);

	drain_ms = CLAMP(drain_ms, ADM_RETRY_AFTER_MIN_MS, ADM_RETRY_AFTER_MAX_MS);
	return drain_ms + (int64_t)rnd_below(&bb->rnd, (uint64_t)drain_ms);
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
		return req->deadline_at_ms - ddl_usual_left_ms(req);
	return req->stream_open ? req->deadline_at_ms : ddl_stage_end_ms(req);
}

static struct adm_verdict judge(struct bb *bb, const struct req *req, int64_t start_ms,
				int64_t now_ms)
{
	if (now_ms >= req->deadline_at_ms)
		return refuse(bb, req, ERR_DEADLINE_EXPIRED);
	if (lacks_upstream(req))
		return refuse(bb, req, ERR_NO_UPSTREAM);
	if (start_ms + ddl_usual_left_ms(req) > req->deadline_at_ms)
		return refuse(bb, req, ERR_DEADLINE_UNREACHABLE);
	return admit();
}

/* Share of a service's capacity that is kept for classes served before this one, in percent. */
static int64_t reserved_before_pct(const struct bb *bb, int64_t rank)
{
	const struct cfg_accounts *accounts = &bb->cfg->accounts;
	int64_t pct = 0;

	for (uint32_t i = 0; i < accounts->n_classes; i++) {
		if (accounts->classes[i].rank < rank)
			pct += accounts->classes[i].reserved_pct;
	}
	return pct;
}

/* Requests that wait and would be served before this one, were it to wait now. */
static int32_t count_before(const struct req *req)
{
	const struct bb_service *service = req->stages[req->stage].service;
	int32_t from = 0;
	int32_t to = g_sequence_get_length(service->waiting);

	while (from < to) {
		int32_t middle = from + (to - from) / 2;
		const struct req *waits =
			g_sequence_get(g_sequence_get_iter_at_pos(service->waiting, middle));
		if (waits->rank <= req->rank)
			from = middle + 1;
		else
			to = middle;
	}
	return from;
}

static struct adm_verdict priority_arrive(struct bb *bb, const struct req *req, int64_t now_ms)
{
	const struct bb_service *service = req->stages[req->stage].service;

	return judge(bb, req, now_ms + ddl_drain_ms(service, count_before(req)), now_ms);
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

/* Trunk reservation: a class starts only below what is kept for the classes before it. */
static bool priority_may_start(const struct bb *bb, const struct req *req)
{
	const struct bb_service *service = req->stages[req->stage].service;
	int64_t width = service->capacity;

	if (bb->stage_workers > 0 && (width > bb->stage_workers || width == 0))
		width = bb->stage_workers;
	/* at least one, or a class would never be served while capacity is not known */
	int64_t usable = MAX(width - width * reserved_before_pct(bb, req->rank) / 100, 1);
	return service->in_flight < usable || (width == 0 && req->rank == 0);
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
