/* Tests messages between nodes over links with frequent and with infrequent heartbeats. */
#include "base/clock.h"
#include "peer/peer.h"

#include <check.h>
#include <stdlib.h>

#define PEERS 12
#define WAIT_MS 10000
#define SEND_MS 50

static gint received[PEERS]; /* atomic: messages received by each peer */

static void count_message(void *arg, const Peer__Message *message)
{
	g_atomic_int_inc((gint *)arg);
}

static struct peer *open_peer(const char *vm, const char *listen, gint *count)
{
	const struct peer_options options = {.vm = vm,
					     .incarnation = 1,
					     .listen = listen,
					     .on_message = count_message,
					     .arg = count};
	GError *error = NULL;
	struct peer *p = peer_new(&options, &error);

	ck_assert_msg(p != NULL, "%s", error ? error->message : "");
	return p;
}

/* Sends until a message arrives, since the transport drops messages before it is connected. */
static void send_until_received(struct peer *from, const char *address, gint *count)
{
	int64_t until_ms = clock_now_ms() + WAIT_MS;
	gint before = g_atomic_int_get(count);

	while (g_atomic_int_get(count) == before) {
		Peer__Message message = PEER__MESSAGE__INIT;
		Peer__View view = PEER__VIEW__INIT;

		message.ttl_ms = WAIT_MS;
		message.kind_case = PEER__MESSAGE__KIND_VIEW;
		message.view = &view;
		peer_send(from, "node", address, &message);
		ck_assert_msg(clock_now_ms() < until_ms, "no message arrived at %s", address);
		clock_sleep_ms(SEND_MS);
	}
}

/* Messages arrive after a peer on a link with infrequent heartbeats restarts at its address. */
START_TEST(finds_restarted_peer)
{
	struct peer *hub = open_peer("hub", "127.0.0.1:0", &received[0]);
	struct peer *peers[PEERS];

	for (int i = 0; i < PEERS; i++) {
		peers[i] = open_peer("node", "127.0.0.1:0", &received[i]);
		send_until_received(hub, peer_address(peers[i]), &received[i]);
	}
	char *address = g_strdup(peer_address(peers[PEERS - 1]));
	peer_free(peers[PEERS - 1]);
	peers[PEERS - 1] = open_peer("node", address, &received[PEERS - 1]);
	send_until_received(hub, address, &received[PEERS - 1]);
	for (int i = 0; i < PEERS; i++)
		peer_free(peers[i]);
	peer_free(hub);
	g_free(address);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("peer");
	TCase *tcase = tcase_create("peer");
	SRunner *runner = srunner_create(suite);
	int failed;

	suite_add_tcase(suite, tcase);
	tcase_set_timeout(tcase, 60);
	tcase_add_test(tcase, finds_restarted_peer);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
