/* Cost of connections and messages between nodes, and of polling load reports. */
#include "base/clock.h"
#include "base/fetch.h"
#include "base/mhd.h"
#include "capacity.h"
#include "peer/peer.h"

#include <dirent.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define IDLE_MS 6000
#define HEADER_BYTES 52 /* IPv4 and TCP headers with the timestamp option */
#define PEERS_MAX 150
#define CONNECT_WAIT_MS 15000
#define BURST 2000
#define VIEW_REPORTS 12

/* The kernel's struct tcp_info; the C library declares only its first fields. */
struct kernel_tcp_info {
	struct tcp_info head;
	uint64_t pacing_rate;
	uint64_t max_pacing_rate;
	uint64_t bytes_acked;
	uint64_t bytes_received;
	uint32_t segs_out;
	uint32_t segs_in;
};

struct cap_sent cap_sent(void)
{
	struct cap_sent sum = {0};
	DIR *dir = opendir("/proc/self/fd");
	const struct dirent *entry;

	while ((entry = readdir(dir))) {
		struct kernel_tcp_info info = {0};
		socklen_t len = sizeof(info);
		int fd = atoi(entry->d_name);

		if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &len) != 0)
			continue;
		sum.payload += (double)info.bytes_acked;
		sum.wire += (double)info.bytes_acked + (double)info.segs_out * HEADER_BYTES;
	}
	closedir(dir);
	return sum;
}

/* The hub is one peer that sends messages to all the others, the nodes; they reply to each. */
struct star {
	struct peer *hub;
	struct peer *peers[PEERS_MAX];
	char names[PEERS_MAX][16];
	gint replies;  /* atomic: replies received by the hub */
	gint received; /* atomic: messages received by the nodes */
	gint silent;   /* atomic: nodes don't reply */
};

struct spoke {
	struct star *star;
	uint32_t i;
};

static struct spoke spokes[PEERS_MAX];

static void send_view(struct peer *from, const char *vm, const char *address)
{
	Peer__Message message = PEER__MESSAGE__INIT;
	Peer__View view = PEER__VIEW__INIT;
	Peer__Upstream upstreams[VIEW_REPORTS];
	Peer__Upstream *list[VIEW_REPORTS];

	for (int i = 0; i < VIEW_REPORTS; i++) {
		peer__upstream__init(&upstreams[i]);
		upstreams[i].name = (char *)"up-6000";
		upstreams[i].incarnation = UINT64_MAX;
		upstreams[i].warm = true;
		upstreams[i].age_ms = 500;
		list[i] = &upstreams[i];
	}
	view.list_version = 100000;
	view.upstreams = list;
	view.n_upstreams = VIEW_REPORTS;
	message.ttl_ms = 60000;
	message.kind_case = PEER__MESSAGE__KIND_VIEW;
	message.view = &view;
	peer_send(from, vm, address, &message);
}

static void count_reply(void *arg, const Peer__Message *message)
{
	struct star *s = arg;

	g_atomic_int_inc(&s->replies);
}

static void receive_view(void *arg, const Peer__Message *message)
{
	const struct spoke *spoke = arg;
	struct star *s = spoke->star;

	g_atomic_int_inc(&s->received);
	if (!g_atomic_int_get(&s->silent))
		send_view(s->peers[spoke->i], "hub", peer_address(s->hub));
}

static struct peer *open_peer(const char *vm, peer_fn fn, void *arg)
{
	const struct peer_options options = {
		.vm = vm, .incarnation = 1, .listen = "127.0.0.1:0", .on_message = fn, .arg = arg};
	GError *error = NULL;
	struct peer *p = peer_new(&options, &error);

	if (!p) {
		fprintf(stderr, "%s\n", error->message);
		exit(EXIT_FAILURE);
	}
	return p;
}

/* Exchanges messages until all links are connected; the transport drops earlier messages. */
static void connect_all(struct star *s, uint32_t n)
{
	int64_t until_ms = clock_now_ms() + CONNECT_WAIT_MS;

	while ((uint32_t)g_atomic_int_get(&s->replies) < 3 * n && clock_now_ms() < until_ms) {
		for (uint32_t i = 0; i < n; i++)
			send_view(s->hub, s->names[i], peer_address(s->peers[i]));
		clock_sleep_ms(300);
	}
	clock_sleep_ms(500);
}

static double measure_burst_us(struct star *s, uint32_t n)
{
	double began = cap_process_us();
	int64_t until_ms = clock_now_ms() + CONNECT_WAIT_MS;
	gint before = g_atomic_int_get(&s->received);
	gint sent = 0;

	g_atomic_int_set(&s->silent, 1);
	while (sent < BURST) {
		for (uint32_t i = 0; i < n && sent < BURST; i++, sent++)
			send_view(s->hub, s->names[i], peer_address(s->peers[i]));
		clock_sleep_ms(5);
	}
	while (g_atomic_int_get(&s->received) - before < sent && clock_now_ms() < until_ms)
		clock_sleep_ms(5);
	return (cap_process_us() - began) / MAX(g_atomic_int_get(&s->received) - before, 1);
}

static void measure_star(uint32_t n, struct cap_series *memory, struct cap_series *time,
			 struct cap_series *payload, struct cap_series *wire,
			 struct cap_series *message)
{
	struct star *s = g_new0(struct star, 1);

	s->hub = open_peer("hub", count_reply, s);
	for (uint32_t i = 0; i < n; i++) {
		g_snprintf(s->names[i], sizeof(s->names[i]), "node-%u", i);
		spokes[i] = (struct spoke){s, i};
		s->peers[i] = open_peer(s->names[i], receive_view, &spokes[i]);
	}
	clock_sleep_ms(500);
	double resident = cap_resident_bytes((int)getpid());
	connect_all(s, n);
	cap_add(memory, n, cap_resident_bytes((int)getpid()) - resident);
	struct cap_sent sent = cap_sent();
	double began = cap_process_us();
	clock_sleep_ms(IDLE_MS);
	cap_add(time, n, (cap_process_us() - began) * CLOCK_MS_PER_S / IDLE_MS);
	struct cap_sent after = cap_sent();
	cap_add(payload, n, (after.payload - sent.payload) * CLOCK_MS_PER_S / IDLE_MS);
	cap_add(wire, n, (after.wire - sent.wire) * CLOCK_MS_PER_S / IDLE_MS);
	cap_add(message, n, measure_burst_us(s, n));
	for (uint32_t i = 0; i < n; i++)
		peer_free(s->peers[i]);
	peer_free(s->hub);
	g_free(s);
}

/* Counts both ends of two connections per pair, one for each direction; a node has half. */
void cap_peers(void)
{
	static const uint32_t counts[] = {6, 50, 150};
	struct cap_series memory = {"peer_links_resident_both_ends", "B", "peers"};
	struct cap_series time = {"peer_links_idle_both_ends", "us/s", "peers"};
	struct cap_series payload = {"peer_links_idle_payload_both_ends", "B/s", "peers"};
	struct cap_series wire = {"peer_links_idle_wire_both_ends", "B/s", "peers"};
	struct cap_series message = {"peer_message_both_ends", "us", "peers"};

	for (size_t i = 0; i < G_N_ELEMENTS(counts); i++)
		measure_star(counts[i], &memory, &time, &payload, &wire, &message);
	cap_print(&memory, sizes_target.nodes - 1);
	cap_print(&time, sizes_target.nodes - 1);
	cap_print(&payload, sizes_target.nodes - 1);
	cap_print(&wire, sizes_target.nodes - 1);
	cap_print(&message, sizes_target.nodes - 1);
}

static enum MHD_Result answer_load(void *arg, struct MHD_Connection *conn, const char *url,
				   const char *method, const char *version, const char *data,
				   size_t *len, void **state)
{
	static const char text[] = "{\"incarnation\":\"f123456789abcdef\",\"warm\":true,"
				   "\"running\":3,\"queued\":0}";

	/* an answer on the first call, before the body is read, would close the connection */
	if (!*state) {
		*state = arg;
		return MHD_YES;
	}
	return mhd_respond(conn, 200, "application/json", text, strlen(text));
}

static void poll_repeatedly(struct fetch_client *http, const char *address, uint32_t n)
{
	const struct fetch_request call = {.method = "GET",
					   .address = address,
					   .path = "/v1/load",
					   .timeout_ms = 1000,
					   .idempotent = true,
					   .max_bytes = 4096};

	for (uint32_t i = 0; i < n; i++) {
		struct fetch_response answer;

		fetch_perform(http, &call, &answer, NULL);
		fetch_response_clear(&answer);
	}
}

void cap_polls(void)
{
	static const uint32_t counts[] = {500, 1000, 2000};
	struct cap_series time = {"polls_both_ends", "us", "polls"};
	struct cap_series own = {"polls_own_thread", "us", "polls"};
	struct cap_series wire = {"polls_wire_both_ends", "B", "polls"};
	struct fetch_client *http = fetch_client_new(NULL);
	int fd = mhd_listen("127.0.0.1:0", NULL);
	char address[64];

	mhd_bound_address(fd, address);
	struct MHD_Daemon *daemon = MHD_start_daemon(
		MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL, NULL, answer_load, http,
		MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_CONNECTION_TIMEOUT, 60u, MHD_OPTION_END);
	poll_repeatedly(http, address, 10);
	for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
		struct cap_sent sent = cap_sent();
		double process = cap_process_us();
		double thread = cap_thread_us();

		poll_repeatedly(http, address, counts[i]);
		cap_add(&time, counts[i], cap_process_us() - process);
		cap_add(&own, counts[i], cap_thread_us() - thread);
		cap_add(&wire, counts[i], cap_sent().wire - sent.wire);
	}
	MHD_stop_daemon(daemon);
	fetch_client_free(http);
	cap_print(&time, counts[0]);
	cap_print(&own, counts[0]);
	cap_print(&wire, counts[0]);
}
