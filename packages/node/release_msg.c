/* Planned stop: messages between the stopping node and its successor, and drain notices. */
#include "base/clock.h"
#include "base/log.h"
#include "node/fwd.h"
#include "release_int.h"

#include <string.h>

#define RELEASE_TTL_MS 1000
#define RELEASE_DRAINING_MS 3000 /* time for which a drain notice holds unless it is repeated */

static void fill_ticket(Peer__Ticket *ticket, const struct ticket_record *record)
{
	gsize len = 0;

	peer__ticket__init(ticket);
	ticket->serial = record->serial;
	ticket->code = record->answer.code;
	ticket->outcome = (int32_t)record->answer.outcome;
	ticket->next_stage = record->answer.next_stage;
	ticket->plan = record->answer.plan;
	if (record->answer.body) {
		ticket->body.data = (uint8_t *)g_bytes_get_data(record->answer.body, &len);
		ticket->body.len = len;
	}
}

void release_send(struct node_server *n, const char *vm, const char *address, uint64_t incarnation,
		  const struct ticket_release *release)
{
	guint count = release->records->len;
	Peer__Ticket *tickets = g_new0(Peer__Ticket, count);
	Peer__Ticket **list = g_new0(Peer__Ticket *, count);
	Peer__Release body = PEER__RELEASE__INIT;
	Peer__Message message = PEER__MESSAGE__INIT;

	for (guint i = 0; i < count; i++) {
		fill_ticket(&tickets[i], &g_array_index(release->records, struct ticket_record, i));
		list[i] = &tickets[i];
	}
	body.transfer = n->incarnation;
	body.incarnation = release->incarnation;
	body.next_serial = release->next_serial;
	body.low_water = release->low_water;
	body.expires_wall_ms = release->expires_wall_ms;
	body.tickets = list;
	body.n_tickets = count;
	/* a restarted successor doesn't know what it ran, so it must not adopt the tickets again */
	message.to_incarnation = incarnation;
	message.ttl_ms = RELEASE_TTL_MS;
	message.kind_case = PEER__MESSAGE__KIND_RELEASE;
	message.release = &body;
	peer_send(n->peer, vm, address, &message);
	g_free(list);
	g_free(tickets);
}

static void send_reply(struct releaser *r, const Peer__Message *to, Peer__Message *message)
{
	char address[BB_ADDRESS_BYTES];

	message->to_incarnation = to->from_incarnation;
	message->ttl_ms = RELEASE_TTL_MS;
	if (fwd_address(r->node, to->from_vm, address))
		peer_send(r->node->peer, to->from_vm, address, message);
}

void release_receive_digest(struct releaser *r, const Peer__Message *message)
{
	struct node_server *n = r->node;
	struct bb_node *node;

	/* an unset flag doesn't end the drain: older digests may arrive after the drain notice */
	if (!message->digest->draining)
		return;
	pthread_mutex_lock(&n->lock);
	node = bb_node(&n->core_state->bb, message->from_vm);
	if (node)
		node->draining_until_ms = clock_now_ms() + RELEASE_DRAINING_MS;
	pthread_mutex_unlock(&n->lock);
}

void release_receive_offer(struct releaser *r, const Peer__Message *message)
{
	Peer__OfferAck ack = PEER__OFFER_ACK__INIT;
	Peer__Message answer = PEER__MESSAGE__INIT;

	/* a draining node adopts no tickets */
	if (g_atomic_int_get(&r->node->draining))
		return;
	ack.transfer = message->offer->transfer;
	answer.kind_case = PEER__MESSAGE__KIND_OFFER_ACK;
	answer.offer_ack = &ack;
	send_reply(r, message, &answer);
}

void release_receive_offer_ack(struct releaser *r, const Peer__Message *message)
{
	if (message->offer_ack->transfer != r->node->incarnation)
		return;
	pthread_mutex_lock(&r->lock);
	/* the first node to accept stays the successor: releases may have been sent to it */
	if (!r->offer_taken && r->drain.phase == DRAIN_OFFERING) {
		r->offer_taken = true;
		r->successor_incarnation = message->from_incarnation;
		g_strlcpy(r->successor, message->from_vm, sizeof(r->successor));
	}
	pthread_mutex_unlock(&r->lock);
}

/* An outcome that this build doesn't know counts as unknown: its name is looked up in a table. */
static enum err_outcome read_outcome(int32_t outcome)
{
	return outcome == ERR_OUTCOME_COMPLETE || outcome == ERR_OUTCOME_NOT_RUN
		       ? (enum err_outcome)outcome
		       : ERR_OUTCOME_UNKNOWN;
}

void release_read(const Peer__Release *from, struct ticket_release *release)
{
	release->incarnation = from->incarnation;
	release->next_serial = from->next_serial;
	release->low_water = from->low_water;
	release->expires_wall_ms = CLAMP(from->expires_wall_ms, 0, RELEASE_WALL_MAX_MS);
	release->records = g_array_new(FALSE, TRUE, sizeof(struct ticket_record));
	for (size_t i = 0; i < from->n_tickets; i++) {
		const Peer__Ticket *ticket = from->tickets[i];
		struct ticket_record record = {.serial = ticket->serial};

		record.answer.outcome = read_outcome(ticket->outcome);
		record.answer.code = ticket->code;
		record.answer.next_stage =
			ticket->next_stage < REQ_STAGES_MAX ? ticket->next_stage : 0;
		record.answer.plan = ticket->plan;
		if (record.answer.outcome == ERR_OUTCOME_COMPLETE || record.answer.next_stage > 0)
			record.answer.body = g_bytes_new(ticket->body.data, ticket->body.len);
		g_array_append_val(release->records, record);
	}
}

void release_clear(struct ticket_release *release)
{
	for (guint i = 0; i < release->records->len; i++) {
		GBytes *body = g_array_index(release->records, struct ticket_record, i).answer.body;
		if (body)
			g_bytes_unref(body);
	}
	g_array_unref(release->records);
}

static bool adopt(struct node_server *n, const struct ticket_release *release)
{
	bool ok;

	pthread_mutex_lock(&n->lock);
	ok = ticket_owns(n->core_state->tickets, release->incarnation) ||
	     (!g_atomic_int_get(&n->draining) &&
	      ticket_adopt(n->core_state->tickets, release, clock_wall_ms()));
	pthread_mutex_unlock(&n->lock);
	return ok;
}

void release_receive_release(struct releaser *r, const Peer__Message *message)
{
	Peer__ReleaseAck ack = PEER__RELEASE_ACK__INIT;
	Peer__Message answer = PEER__MESSAGE__INIT;
	struct ticket_release release;
	bool ok;

	/* drop a release to an earlier incarnation: a restart loses adopted tickets */
	if (message->to_incarnation != r->node->incarnation)
		return;
	release_read(message->release, &release);
	ok = adopt(r->node, &release);
	release_clear(&release);
	if (!ok)
		return;
	log_info("tickets_adopted", "{s:s, s:i}", "from", message->from_vm, "tickets",
		 (int)message->release->n_tickets);
	fwd_announce(r->node->fwd);
	ack.transfer = message->release->transfer;
	ack.incarnation = message->release->incarnation;
	answer.kind_case = PEER__MESSAGE__KIND_RELEASE_ACK;
	answer.release_ack = &ack;
	send_reply(r, message, &answer);
}

void release_receive_release_ack(struct releaser *r, const Peer__Message *message)
{
	pthread_mutex_lock(&r->lock);
	for (guint i = 0; i < r->releases->len; i++) {
		struct release_transfer *transfer =
			&g_array_index(r->releases, struct release_transfer, i);
		if (transfer->release.incarnation == message->release_ack->incarnation &&
		    message->from_incarnation == r->successor_incarnation)
			transfer->acked = true;
	}
	pthread_mutex_unlock(&r->lock);
}
