/* Resolves a request path to a pipeline or to a call of a service. */
#include "node/node.h"

#include <string.h>

#define TARGET_PARTS_MAX 6 /* "", "v1", kind, name, call, and the rest */
#define TARGET_PIPELINE_PARTS 4
#define TARGET_SERVICE_PARTS 5

static enum err_code read_call(const struct cfg *cfg, char **parts, struct core_ev_request *ev)
{
	const struct cfg_service *service;

	ev->service = cfg_find_service(cfg, parts[3]);
	if (ev->service < 0)
		return ERR_UNKNOWN_SERVICE;
	service = &cfg->services.items[ev->service];
	g_strlcpy(ev->call, parts[4], sizeof(ev->call));
	if (service->kind == CFG_KIND_PLAIN && cfg_find_call(service, parts[4]) < 0)
		return ERR_UNKNOWN_CALL;
	return ERR_NONE;
}

static enum err_code read_parts(const struct cfg *cfg, char **parts, struct core_ev_request *ev)
{
	guint n = g_strv_length(parts);

	if (n == TARGET_PIPELINE_PARTS && strcmp(parts[2], "pipelines") == 0) {
		ev->pipeline = cfg_find_pipeline(cfg, parts[3]);
		return ev->pipeline < 0 ? ERR_UNKNOWN_PIPELINE : ERR_NONE;
	}
	if (n == TARGET_SERVICE_PARTS && strcmp(parts[2], "services") == 0)
		return read_call(cfg, parts, ev);
	return ERR_NOT_FOUND;
}

enum err_code target_parse(const struct cfg *cfg, const char *url, struct core_ev_request *ev)
{
	char **parts = g_strsplit(url, "/", TARGET_PARTS_MAX);
	enum err_code code;

	ev->pipeline = -1;
	ev->service = -1;
	code = read_parts(cfg, parts, ev);
	g_strfreev(parts);
	return code;
}
