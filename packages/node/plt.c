/* Reads the configuration and the VM list from the platform. */
#include "base/clk.h"
#include "base/ctr.h"
#include "base/log.h"
#include "node/nod.h"

#define PLT_PERIOD_MS 500
#define PLT_TIMEOUT_MS 2000
#define PLT_BYTES_MAX (4 * 1024 * 1024)

static bool read_path(struct nod *n, const char *path, const char *etag, struct hcl_answer *answer)
{
	struct hcl_call call = {
		.method = "GET",
		.address = n->set->platform_address,
		.path = path,
		.timeout_ms = PLT_TIMEOUT_MS,
		.idempotent = true,
		.max_bytes = PLT_BYTES_MAX,
		.want_headers = {"ETag"},
	};
	GError *error = NULL;

	if (etag) {
		call.headers[0] = (struct hcl_header){"If-None-Match", etag};
		call.n_headers = 1;
	}
	ctr_add(CTR_CONFIG_READS, 1);
	if (hcl_do(n->http, &call, answer, &error))
		return true;
	log_warn("platform_unreachable", "{s:s, s:s}", "path", path, "reason", error->message);
	g_error_free(error);
	return false;
}

static void apply_config(struct nod *n, const struct hcl_answer *answer, int64_t asked_ms)
{
	GPtrArray *faults = sch_faults_new();
	struct cfg *cfg = cfg_parse((const char *)answer->body->data, answer->body->len, faults);

	for (guint i = 0; i < faults->len; i++) {
		const struct sch_fault *fault = g_ptr_array_index(faults, i);
		log_error("config_refused", "{s:s, s:i, s:s, s:s}", "section", fault->section,
			  "line", fault->line, "key", fault->key, "reason", fault->reason);
	}
	if (cfg) {
		const struct dec_event ev = {
			.type = DEC_EV_CONFIG, .at_ms = asked_ms, .u.cfg = cfg};
		nod_event(n, &ev);
		ctr_add(CTR_CONFIG_APPLIED, 1);
		cfg_unref(cfg);
	} else {
		ctr_add(CTR_CONFIG_REFUSED, 1);
	}
	g_ptr_array_unref(faults);
}

static void confirm_config(struct nod *n, int64_t asked_ms)
{
	const struct dec_event ev = {.type = DEC_EV_CONFIG_SAME, .at_ms = asked_ms};

	nod_event(n, &ev);
}

static void read_config(void *arg)
{
	struct nod *n = arg;
	struct hcl_answer answer;
	int64_t asked_ms = clk_now_ms();
	bool ok = read_path(n, "/v1/config", n->config_etag, &answer);

	if (ok && answer.status == 304)
		confirm_config(n, asked_ms);
	if (ok && answer.status == 200) {
		apply_config(n, &answer, asked_ms);
		g_free(n->config_etag);
		n->config_etag = g_strdup(answer.headers[0]);
	}
	hcl_answer_clear(&answer);
	g_atomic_int_set(&n->reading_config, 0);
}

static void read_list(void *arg)
{
	struct nod *n = arg;
	struct hcl_answer answer;
	GError *error = NULL;
	/* the answer may lie in the socket through a pause: it is as old as the question */
	int64_t asked_ms = clk_now_ms();

	if (read_path(n, "/v1/vms", NULL, &answer) && answer.status == 200) {
		struct vml *list =
			vml_parse((const char *)answer.body->data, answer.body->len, &error);
		if (list) {
			const struct dec_event ev = {
				.type = DEC_EV_LIST, .at_ms = asked_ms, .u.list = list};
			nod_event(n, &ev);
		} else {
			log_error("list_refused", "{s:s}", "reason", error->message);
			g_error_free(error);
		}
	}
	hcl_answer_clear(&answer);
	g_atomic_int_set(&n->reading_list, 0);
}

static void start_read(struct nod *n, gint *busy, wkp_fn fn)
{
	if (!g_atomic_int_compare_and_exchange(busy, 0, 1))
		return;
	if (!wkp_submit(n->side, fn, n))
		g_atomic_int_set(busy, 0);
}

static void poll(void *arg, int64_t now_ms)
{
	struct nod *n = arg;

	start_read(n, &n->reading_config, read_config);
	start_read(n, &n->reading_list, read_list);
}

void plt_start(struct nod *n)
{
	poll(n, clk_now_ms());
	tmr_every(n->timers, PLT_PERIOD_MS, poll, n);
}
