#include "srv_traffic.h"

#include "srv_int.h"

#include <string.h>

static const char *const purpose_names[] = {
	[SRV_MEMBERSHIP] = "membership",
	[SRV_CHAIN_TRAFFIC] = "chains",
	[SRV_VIEW_COPIES] = "view_copies",
	[SRV_EVIDENCE] = "evidence",
	[SRV_ORIGINS] = "origins",
	[SRV_ADVICE] = "upstream_advice",
	[SRV_UPSTREAM_REQUESTS] = "upstream_requests",
};

static enum srv_purpose purpose_of(Peer__Message__KindCase kind)
{
	switch (kind) {
	case PEER__MESSAGE__KIND_BEAT:
		return SRV_MEMBERSHIP;
	case PEER__MESSAGE__KIND_PUBLISHED_ASK:
	case PEER__MESSAGE__KIND_PUBLISHED_REPLY:
	case PEER__MESSAGE__KIND_PUBLISHED_NEWS:
		return SRV_VIEW_COPIES;
	case PEER__MESSAGE__KIND_PROMPT_EVIDENCE:
	case PEER__MESSAGE__KIND_RUN_EVIDENCE:
	case PEER__MESSAGE__KIND_RUN_ASK:
	case PEER__MESSAGE__KIND_RUN_REPLY:
	case PEER__MESSAGE__KIND_RUN_RETURN:
		return SRV_EVIDENCE;
	case PEER__MESSAGE__KIND_ORIGIN_NOTE:
	case PEER__MESSAGE__KIND_ORIGIN_ASK:
	case PEER__MESSAGE__KIND_ORIGIN_REPLY:
		return SRV_ORIGINS;
	case PEER__MESSAGE__KIND_UPSTREAM_NOTICES:
	case PEER__MESSAGE__KIND_UPSTREAM_USE:
	case PEER__MESSAGE__KIND_PERMIT_ASK:
	case PEER__MESSAGE__KIND_PERMIT_REPLY:
		return SRV_ADVICE;
	default:
		return SRV_CHAIN_TRAFFIC;
	}
}

static enum srv_distance distance_to(const struct srv *s, const char *data_centre,
				     const char *region)
{
	if (strcmp(data_centre, s->set->data_centre) == 0)
		return SRV_SAME_DATA_CENTRE;
	return strcmp(region, s->set->region) == 0 ? SRV_SAME_REGION : SRV_OTHER_REGION;
}

void srv_traffic_note_message(struct srv *s, const char *peer_address, Peer__Message__KindCase kind,
			      size_t bytes)
{
	const struct gossip_member *m = gossip_find(s->fleet, peer_address);
	enum srv_distance distance =
		m ? distance_to(s, m->record.data_centre, m->record.region) : SRV_DISTANCE_UNKNOWN;

	s->traffic.bytes[purpose_of(kind)][distance] += bytes;
}

void srv_traffic_note_request(struct srv *s, const char *data_centre, size_t bytes)
{
	enum srv_distance distance =
		distance_to(s, data_centre, srvconf_region_of(s->set, data_centre));

	s->traffic.bytes[SRV_UPSTREAM_REQUESTS][distance] += bytes;
}

json_t *srv_traffic_json(const struct srv_traffic *traffic, enum srv_distance distance)
{
	json_t *bytes = json_object();

	for (int p = 0; p < SRV_PURPOSES_N; p++)
		json_object_set_new(bytes, purpose_names[p],
				    json_integer((json_int_t)traffic->bytes[p][distance]));
	return bytes;
}

void srv_traffic_write(const struct srv_traffic *traffic, GString *out)
{
	static const char *const distances[] = {
		[SRV_SAME_DATA_CENTRE] = "data_centre",
		[SRV_SAME_REGION] = "region",
		[SRV_OTHER_REGION] = "other_region",
		[SRV_DISTANCE_UNKNOWN] = "unknown",
	};

	g_string_append(out, "# HELP currantscale_sent_bytes_total bytes sent by purpose and "
			     "distance\n# TYPE currantscale_sent_bytes_total counter\n");
	for (int p = 0; p < SRV_PURPOSES_N; p++) {
		for (int d = 0; d < SRV_DISTANCES_N; d++)
			g_string_append_printf(
				out,
				"currantscale_sent_bytes_total{purpose=\"%s\",distance=\"%s\"} "
				"%" G_GUINT64_FORMAT "\n",
				purpose_names[p], distances[d], traffic->bytes[p][d]);
	}
}
