/* Applies what the source has said to the view, and logs it. */
#include "srv_int.h"

#include "base/log.h"

static struct view_revision revision_of(const struct srv *s, const struct adapter_change *change)
{
	return (struct view_revision){.epoch = s->view->epoch, .number = change->revision};
}

static void log_change(const struct srv *s, const struct adapter_change *change, const char *event,
		       const char *id)
{
	log_info(event, "{s:s, s:I, s:I}", "id", id, "epoch", (json_int_t)s->view->epoch,
		 "revision", (json_int_t)change->revision);
}

static bool apply_config(struct srv *s, struct adapter_change *change)
{
	struct pub_doc *doc = change->doc;
	int64_t version = doc->version;

	change->doc = NULL;
	if (!view_set_config(s->view, doc))
		return false;
	log_info("config_in_force", "{s:I, s:I, s:I, s:i, s:i, s:i}", "version",
		 (json_int_t)version, "epoch", (json_int_t)s->view->epoch, "revision",
		 (json_int_t)change->revision, "routes", (int)s->view->doc->n_routes, "services",
		 (int)s->view->doc->n_services, "accounts", (int)s->view->doc->n_accounts);
	return true;
}

static bool apply_upstream(struct srv *s, struct adapter_change *change, int64_t now_ms)
{
	struct pub_upstream *doc = change->upstream;
	bool changed;

	change->upstream = NULL;
	changed = srv_origin_put_upstream(s, doc, revision_of(s, change), now_ms);
	if (changed)
		log_info("upstream_published", "{s:s, s:s, s:s, s:s, s:s, s:b, s:I, s:I, s:I}",
			 "upstream", doc->id, "version", doc->version, "service", doc->service,
			 "address", doc->address, "data_centre", doc->data_centre, "leaving",
			 (int)doc->leaving, "cold_ms", (json_int_t)doc->cold_left_ms, "epoch",
			 (json_int_t)s->view->epoch, "revision", (json_int_t)change->revision);
	return changed;
}

static bool apply_change(struct srv *s, struct adapter_change *change, int64_t now_ms)
{
	switch (change->kind) {
	case ADAPTER_CHANGE_CONFIG:
		return apply_config(s, change);
	case ADAPTER_CHANGE_UPSTREAM:
		return apply_upstream(s, change, now_ms);
	case ADAPTER_CHANGE_UPSTREAM_REMOVED:
		if (!view_remove_upstream(s->view, change->id, revision_of(s, change), now_ms))
			return false;
		log_change(s, change, "upstream_gone", change->id);
		return true;
	case ADAPTER_CHANGE_DATA_CENTRE_OUT:
		if (!view_set_out_of_service(s->view, change->id, true, now_ms))
			return false;
		log_change(s, change, "data_centre_out", change->id);
		return true;
	case ADAPTER_CHANGE_DATA_CENTRE_BACK:
		if (!view_set_out_of_service(s->view, change->id, false, now_ms))
			return false;
		log_change(s, change, "data_centre_back", change->id);
		return true;
	case ADAPTER_CHANGE_INVALID:
		log_warn("entry_unreadable", "{s:s, s:s, s:I}", "id", change->id, "reason",
			 change->why, "revision", (json_int_t)change->revision);
		/* the entry that this one replaces may have an outdated address */
		return view_remove_upstream(s->view, change->id, revision_of(s, change), now_ms);
	case ADAPTER_CHANGE_IGNORED:
		break;
	}
	return false;
}

bool srv_feed_apply(struct srv *s, GArray *changes, int64_t now_ms)
{
	bool changed = false;

	for (guint i = 0; i < changes->len; i++)
		changed = apply_change(s, &g_array_index(changes, struct adapter_change, i),
				       now_ms) ||
			  changed;
	return changed;
}
