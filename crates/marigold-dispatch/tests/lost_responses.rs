//! Slots of requests whose response never arrives.

mod common;

use std::collections::VecDeque;
use std::time::Duration;

use common::{ms, slot_request};
use marigold_dispatch::{AdmissionController, AdmissionDecision, Permit};
use marigold_types::SlotCount;
use tokio::time::Instant;

const SLOTS: u32 = 4;
const RUN: Duration = Duration::from_millis(100);
/// A time after which a run that has not ended is overdue.
const LONG: Duration = Duration::from_secs(1);

/// A controller and its clock.
struct Server {
    controller: AdmissionController,
    now: Instant,
}

impl Server {
    /// Returns a server on which enough requests have run that their usual time is known.
    fn new() -> Self {
        let mut server = Self {
            controller: AdmissionController::new(SlotCount(SLOTS)),
            now: Instant::now(),
        };
        for number in 0..16 {
            server.run(RUN + ms(number % 4));
        }
        server
    }

    fn start(&mut self) -> Option<Permit> {
        let request = slot_request("read", 1, 20_000, 20_000, self.now);
        match self.controller.admit(request, self.now) {
            AdmissionDecision::Run(permit) => Some(permit),
            AdmissionDecision::Wait(ticket) => {
                self.controller.cancel(ticket);
                None
            }
            AdmissionDecision::Refuse(_) => None,
        }
    }

    /// Runs a request that takes `time`.
    fn run(&mut self, time: Duration) {
        let permit = self.start().expect("a free slot");
        self.now += time;
        self.controller.release(permit, true, self.now);
    }

    /// Starts as many requests as there are free slots; returns how many.
    fn fill(&mut self) -> usize {
        std::iter::from_fn(|| self.start()).count()
    }

    fn lose_responses(&mut self, count: usize) {
        for _ in 0..count {
            self.start().expect("a free slot");
        }
        self.now += ms(1);
    }
}

/// Names each test after the failure that it guards against. Each loses some responses, runs some requests meanwhile,
/// which take some time each, and checks how many slots are free after a while.
macro_rules! lost_response_tests {
    ($($name:ident: $lost:literal, $later:literal, $time:expr, $wait:expr => $free:literal;)*) => {$(
        #[tokio::test(start_paused = true)]
        async fn $name() {
            let mut server = Server::new();
            server.lose_responses($lost);
            let later: usize = $later;
            std::iter::repeat_n($time, later).for_each(|time| server.run(time));
            server.now += $wait;
            server.controller.mark_overdue(server.now);
            assert_eq!(server.fill(), $free);
        }
    )*};
}

lost_response_tests! {
    lost_responses_hold_slots_until_their_deadlines: 2, 4, RUN, LONG => 4;
    one_lost_response_holds_a_slot: 1, 4, RUN, LONG => 4;
    all_slots_are_given_away: 3, 4, RUN, LONG => 3;
    slot_of_a_request_that_may_still_run_is_given_away: 2, 1, RUN, ms(0) => 2;
    slots_of_a_server_that_has_stalled_are_given_away: 2, 0, RUN, LONG => 2;
    slots_of_a_server_that_is_slow_are_given_away: 2, 3, 10 * RUN, ms(0) => 2;
}

#[tokio::test(start_paused = true)]
async fn response_that_arrives_after_all_frees_a_slot_twice() {
    let mut server = Server::new();
    let late = server.start().expect("a free slot");
    server.now += ms(1);
    for _ in 0..4 {
        server.run(RUN);
    }
    server.now += LONG;
    assert!(server.controller.mark_overdue(server.now));
    assert!(server.controller.is_overdue(late));
    server.controller.release(late, true, server.now);
    assert_eq!(server.fill(), usize::try_from(SLOTS).expect("fits"));
    assert_eq!(
        server.controller.busy(),
        usize::try_from(SLOTS).expect("fits")
    );
}

/// Keeps a server busy for `rounds` run times, while each third response is lost and its request ends at its deadline.
/// Returns the number of responses.
fn serve_while_responses_are_lost(rounds: u64) -> usize {
    let mut server = Server::new();
    let mut lost: VecDeque<(Permit, Instant)> = VecDeque::new();
    let mut started = 0_u64;
    let mut responses = 0;
    for _ in 0..rounds {
        let permits: Vec<_> = std::iter::from_fn(|| server.start()).collect();
        server.now += RUN;
        for permit in permits {
            started += 1;
            if started.is_multiple_of(3) {
                lost.push_back((permit, server.now + LONG));
            } else {
                server.controller.release(permit, true, server.now);
                responses += 1;
            }
        }
        while let Some((permit, _)) = lost.pop_front_if(|(_, at)| *at <= server.now) {
            server.controller.release(permit, false, server.now);
        }
        server.controller.mark_overdue(server.now);
    }
    responses
}

/// A lost response holds its slot for the two run times after which it is overdue, and for one until that is noticed. Of
/// the responses that are possible then, three quarters arrive.
#[tokio::test(start_paused = true)]
async fn lost_responses_hold_most_slots_of_a_server_that_goes_on() {
    let rounds = 60;
    let responses = serve_while_responses_are_lost(rounds);
    let run_times = 1 + 1 + 3;
    let possible = usize::try_from(rounds * u64::from(SLOTS) * 2 / run_times).expect("fits");
    println!("{responses} of {possible} responses");
    assert!(responses * 4 >= possible * 3, "{responses} of {possible}");
}
