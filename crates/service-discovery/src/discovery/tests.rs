use super::*;
use crate::age::{TOLD_AFTER_MOVE, TOLD_WITHIN};
use crate::flows::MOST_FLOWS;
use rstest::rstest;
use std::cell::Cell;

const GRACE: Milliseconds = 1_000.0;
const STEP: Milliseconds = 10.0;
/// When the list changes, in most plays.
const CHANGE: Milliseconds = 10_000.0;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// A gateway and a service in virtual time.
struct Bed {
    discovery: Discovery,
    now: Milliseconds,
    /// Flows can be opened.
    can_open: bool,
    opened_at: Vec<Milliseconds>,
    /// Answers on their way.
    coming: Vec<(Milliseconds, Received, SocketAddr, FlowId)>,
    questions: Vec<Question>,
    verdicts: Vec<(Milliseconds, Verdict)>,
    most_flows: usize,
    open_flows: usize,
    /// When the process stood still.
    pause: (Milliseconds, Milliseconds),
}

impl Bed {
    fn new(gateways: usize, seed: u64) -> Self {
        let pace = poll_schedule::Rules { gateways, gateway_index: Some(0), slowest: poll_schedule::STEADY };
        let start = Start {
            pace,
            seed,
            known: 1,
            drain_grace: GRACE,
            most_flows: MOST_FLOWS,
            address: Some(address(1)),
        };
        Self {
            discovery: Discovery::new(&start, 0.0),
            now: 0.0,
            can_open: true,
            opened_at: Vec::new(),
            coming: Vec::new(),
            questions: Vec::new(),
            verdicts: Vec::new(),
            most_flows: 0,
            open_flows: 0,
            pause: (0.0, 0.0),
        }
    }

    /// Goes on until then; `answer` tells how long the answer to a question takes, and its version, if there is one.
    fn play(&mut self, until: Milliseconds, answer: impl Fn(&Bed, &Question) -> Option<(Milliseconds, u64)>) {
        while self.now < until {
            if !(self.pause.0..self.pause.1).contains(&self.now) {
                self.receive_due();
                if self.discovery.due().is_some_and(|due| due <= self.now) {
                    self.ask(&answer);
                }
            }
            self.now += STEP;
        }
    }

    fn receive_due(&mut self) {
        let (due, coming) = self.coming.drain(..).partition(|(at, ..)| *at <= self.now);
        self.coming = coming;
        for (_, received, from, flow) in due {
            let verdict = self.discovery.receive(received, from, flow, self.now);
            self.verdicts.push((self.now, verdict));
        }
    }

    fn ask(&mut self, answer: &impl Fn(&Bed, &Question) -> Option<(Milliseconds, u64)>) {
        if self.discovery.wants_fresh_flow(self.now) && self.can_open {
            self.discovery.open_flow(self.now);
            self.opened_at.push(self.now);
            self.open_flows += 1;
        }
        self.open_flows -= self.discovery.close_flows(self.now).len();
        self.most_flows = self.most_flows.max(self.open_flows);
        let Some(question) = self.discovery.ask(self.now) else { return };
        self.questions.push(question);
        if let Some((takes, version)) = answer(self, &question) {
            let list = Received::List { id: question.id, version };
            self.coming.push((self.now + takes, list, question.to, question.flow));
        }
    }

    /// When the flow of a question was opened.
    fn opened_at(&self, question: &Question) -> Milliseconds {
        self.opened_at[question.flow.0 as usize - 1]
    }

    /// When the first news was heard.
    fn news_at(&self) -> Option<Milliseconds> {
        self.verdicts.iter().find(|(_, verdict)| verdict.kind == AnswerKind::News).map(|(at, _)| *at)
    }

    /// The version that the service has now, which becomes 2 at that time.
    fn version(&self, change: Milliseconds) -> u64 {
        1 + u64::from(self.now >= change)
    }

    fn longest_gap(&self) -> Milliseconds {
        self.questions.windows(2).map(|pair| pair[1].asked_at - pair[0].asked_at).fold(0.0, f64::max)
    }
}

#[track_caller]
fn assert_heard_within(bed: &Bed, from: Milliseconds, within: Milliseconds) {
    let heard = bed.news_at().map(|at| at - from);
    assert!(heard.is_some_and(|late| late <= within), "heard after {heard:?} ms of {within}");
}

/// Each answer takes 0.3 s, and a reload comes every 0.25 s.
#[rstest]
#[case::file_unchanged(false)]
#[case::between_two_good_services(true)]
fn reloads_in_series_lose_no_answer(#[case] moves: bool) {
    let mut bed = Bed::new(3, 1);
    for n in 0..48 {
        bed.play(f64::from(n) * 250.0, |bed, _| Some((300.0, bed.version(5_000.0))));
        let now = bed.now;
        bed.discovery.relocate(Some(address(if moves { 1 + n as u16 % 2 } else { 1 })), now);
    }
    assert_heard_within(&bed, 5_000.0, 300.0 + poll_schedule::STEADY + 2.0 * STEP);
    assert!(bed.longest_gap() <= poll_schedule::STEADY + STEP, "{}", bed.longest_gap());
}

#[rstest]
fn answers_that_are_late_are_heard_and_flows_stay_bounded(
    #[values(300.0, 1_300.0, 2_500.0, 3_000.0)] takes: Milliseconds,
) {
    let mut bed = Bed::new(3, 2);
    bed.play(CHANGE + 5_000.0, |bed, _| Some((takes, bed.version(CHANGE))));
    assert_heard_within(&bed, CHANGE, takes + poll_schedule::STEADY + 2.0 * STEP);
    assert!(bed.most_flows <= MOST_FLOWS + 1, "{} flows", bed.most_flows);
    assert_eq!(bed.discovery.counts().of(AnswerKind::UnknownQuestion), 0, "no answer came for nothing");
}

/// Silent for 12 s, and flows that began before the end of the silence stay dead; then some answers are lost.
#[rstest]
fn service_that_is_back_is_heard_from_a_fresh_flow_in_time(
    #[values(1, 5, 20)] gateways: usize,
    #[values(0, 1, 2, 3, 4)] seed: u64,
    #[values(0, 4)] lost_of_ten: u64,
) {
    let mut bed = Bed::new(gateways, seed);
    bed.play(18_000.0, |bed, question| {
        let alive = bed.now < 2_000.0 || bed.opened_at(question) >= 14_000.0;
        let lost = bed.now > 14_000.0 && question.number % 10 < lost_of_ten;
        (alive && !lost).then_some((1.0, bed.version(14_100.0)))
    });
    // Told once an answer was sent that holds it, here the first from a fresh flow at the earliest.
    assert_heard_within(&bed, 14_100.0, GRACE + if lost_of_ten > 0 { 800.0 } else { 0.0 });
    assert!(bed.most_flows <= MOST_FLOWS + 1, "{} flows", bed.most_flows);
}

/// A fleet that may ask a silent service only seldom asks each of its questions from a fresh flow.
#[test]
fn questions_of_a_back_off_leave_from_fresh_flows() {
    let mut bed = Bed::new(300, 3);
    bed.play(30_000.0, |_, _| None);
    let late: Vec<&Question> = bed.questions.iter().filter(|question| question.asked_at > 12_000.0).collect();
    assert!((3..=12).contains(&late.len()), "{} questions in 18 s", late.len());
    assert!(late.windows(2).all(|pair| pair[0].flow != pair[1].flow), "{late:?}");
}

/// The service moves while no socket can be had: the flow that is there asks the new address.
#[test]
fn service_that_moves_while_sockets_fail_is_asked_from_the_flow_that_works() {
    let mut bed = Bed::new(3, 4);
    let answer = |bed: &Bed, question: &Question| {
        let good = address(if bed.now < 5_000.0 { 1 } else { 2 });
        (question.to == good).then_some((1.0, bed.version(5_200.0)))
    };
    bed.play(4_800.0, answer);
    bed.can_open = false;
    bed.play(5_000.0, answer);
    bed.discovery.relocate(Some(address(2)), 5_000.0);
    bed.play(9_000.0, answer);
    assert_heard_within(&bed, 5_200.0, poll_schedule::STEADY + 2.0 * STEP);
}

/// The service moves at 5 s, the new one says nothing until 8 s, and then every second question is lost. Everything counts as
/// told 4 s after the move.
#[rstest]
fn moved_service_that_is_silent_and_then_loses_every_second_question_is_heard_in_time(
    #[values(1, 5, 40, 300)] gateways: usize,
    #[values(0, 1)] lost: u64,
) {
    for seed in 0..20 {
        let mut bed = Bed::new(gateways, seed);
        let answer = |bed: &Bed, question: &Question| {
            let good = if bed.now < 5_000.0 {
                question.to == address(1)
            } else {
                bed.now >= 8_000.0 && question.to == address(2) && question.number % 2 == lost
            };
            good.then_some((1.0, bed.version(5_200.0)))
        };
        bed.play(5_000.0, answer);
        bed.discovery.relocate(Some(address(2)), 5_000.0);
        bed.play(12_000.0, answer);
        assert_heard_within(&bed, 5_000.0 + TOLD_AFTER_MOVE, GRACE);
    }
}

/// A process that starts while answers get lost: the first four questions are named.
#[rstest]
fn process_whose_first_answers_are_lost_hears_a_drain_in_time(#[values(1, 5, 40, 100)] gateways: usize) {
    for seed in 0..20 {
        let mut bed = Bed::new(gateways, seed);
        bed.play(6_000.0, |bed, question| (question.number > 4).then_some((1.0, bed.version(700.0))));
        assert_heard_within(&bed, 700.0, TOLD_WITHIN);
    }
}

#[test]
fn list_that_is_confirmed_all_the_time_stays_reliable() {
    let mut bed = Bed::new(3, 5);
    for second in 1..60 {
        bed.play(f64::from(second) * 1_000.0, |_, _| Some((1.0, 1)));
        let left = bed.discovery.reliable_until() - bed.now;
        assert!(left > TOLD_WITHIN + GRACE - 2.0 * poll_schedule::STEADY, "{left}");
    }
    assert!(
        bed.questions.iter().all(|question| question.flow == bed.questions[0].flow),
        "one flow is enough"
    );
    assert_eq!(bed.discovery.counts().questions(), bed.questions.len() as u64);
    assert_eq!(bed.discovery.freshness_change(bed.now), None);
    assert_eq!(bed.discovery.freshness_change(bed.now + 2_000.0), Some(Freshness::Late));
}

#[test]
fn list_of_a_silent_service_is_reliable_until_all_counts_as_told() {
    let mut bed = Bed::new(3, 6);
    bed.play(3_000.0, |_, _| Some((1.0, 1)));
    let confirmed = bed.now - bed.discovery.age(bed.now);
    let mut last_reliable = 0.0;
    while bed.now < 20_000.0 {
        let until = bed.now + 100.0;
        bed.play(until, |_, _| None);
        if bed.discovery.reliable_until() > bed.now {
            last_reliable = bed.now;
        }
    }
    let expected = confirmed + 7_000.0 + GRACE;
    assert!((expected - 110.0..=expected).contains(&last_reliable), "{last_reliable} of {expected}");
}

/// After a pause the list is not relied on before it is confirmed, also where the service is silent since.
#[rstest]
fn list_is_confirmed_after_a_pause_before_it_is_relied_on(#[values(true, false)] answers: bool) {
    let mut bed = Bed::new(3, 7);
    bed.pause = (5_200.0, 9_200.0);
    bed.play(9_200.0, |_, _| Some((1.0, 1)));
    assert!(bed.discovery.reliable_until() <= bed.now, "nothing was asked for 4 s");
    bed.play(9_250.0, |_, _| answers.then_some((1.0, 1)));
    assert_eq!(bed.discovery.reliable_until() > bed.now, answers);
    bed.play(10_200.0, |_, _| answers.then_some((1.0, 1)));
    assert_eq!(bed.discovery.reliable_until() > bed.now, answers);
    bed.play(10_500.0, |_, _| Some((1.0, 1)));
    assert!(bed.discovery.reliable_until() > bed.now);
}

#[test]
fn spoilt_answers_of_the_service_bind_as_good_ones_would() {
    let mut bed = Bed::new(3, 8);
    bed.play(3_000.0, |_, _| Some((1.0, 1)));
    let flow = bed.questions.last().expect("asked").flow;
    bed.discovery.receive(Received::Unreadable, address(9), flow, 3_100.0);
    bed.play(5_900.0, |_, _| None);
    assert!(bed.discovery.reliable_until() > 5_900.0 + GRACE, "a stranger's word is nothing");
    bed.discovery.receive(Received::Unreadable, address(1), flow, 3_100.0);
    assert_eq!(bed.discovery.reliable_until(), 3_100.0 + TOLD_WITHIN + GRACE);
}

#[test]
fn answer_is_taken_from_the_address_and_the_flow_that_were_asked() {
    let mut bed = Bed::new(3, 9);
    bed.play(100.0, |_, _| None);
    let question = bed.questions[0];
    let list = Received::List { id: question.id, version: 2 };
    let mut kind = |from, flow| bed.discovery.receive(list, from, flow, 110.0).kind;
    assert_eq!(kind(address(2), question.flow), AnswerKind::UnknownQuestion);
    assert_eq!(kind(address(1), FlowId(99)), AnswerKind::UnknownQuestion);
    assert_eq!(kind(address(1), question.flow), AnswerKind::News);
    assert_eq!(kind(address(1), question.flow), AnswerKind::UnknownQuestion, "a second copy");
}

#[test]
fn answer_tells_how_long_it_took_and_confirms_without_superseding() {
    let mut bed = Bed::new(3, 12);
    bed.play(500.0, |_, _| None);
    let question = bed.questions[1];
    let list = Received::List { id: question.id, version: 1 };
    let verdict = bed.discovery.receive(list, question.to, question.flow, question.asked_at + 70.0);
    let expected = Verdict { kind: AnswerKind::Confirmation, supersedes: false, took: Some(70.0) };
    assert_eq!(verdict, expected);
}

#[test]
fn flow_that_fails_is_left_with_the_next_question() {
    let mut bed = Bed::new(3, 13);
    bed.play(1_000.0, |_, _| Some((1.0, 1)));
    let flow = bed.questions[0].flow;
    bed.discovery.fail_flow(flow);
    bed.play(1_300.0, |_, _| Some((1.0, 1)));
    assert_ne!(bed.questions.last().expect("asked").flow, flow);
}

/// Spoilt answers of an address that is asked no longer count while one of its questions is out.
#[test]
fn spoilt_answer_of_a_former_address_binds_while_its_question_is_out() {
    let mut bed = Bed::new(3, 14);
    bed.play(3_000.0, |_, _| Some((1.0, 1)));
    bed.play(3_500.0, |_, _| None);
    let flow = bed.questions.last().expect("asked").flow;
    bed.discovery.relocate(Some(address(2)), 3_500.0);
    bed.play(4_000.0, |_, _| None);
    bed.discovery.receive(Received::Truncated, address(1), flow, 4_000.0);
    bed.play(5_000.0, |_, _| None);
    assert_eq!(bed.discovery.reliable_until(), 4_000.0 + TOLD_WITHIN + GRACE);
}

/// Where the pace may be slower than steady, lists that are older than what a start knows are no answers to it.
#[rstest]
#[case::platform(poll_schedule::STEADY, 1, 140)]
#[case::slower(poll_schedule::SLOWEST, 1, 60)]
#[case::slower_and_newer(poll_schedule::SLOWEST, 5, 140)]
fn pace_follows_the_answers_that_count(
    #[case] slowest: Milliseconds,
    #[case] version: u64,
    #[case] questions: usize,
) {
    let mut bed = Bed::new(3, 15);
    let pace = poll_schedule::Rules { gateways: 3, gateway_index: Some(0), slowest };
    let start = Start {
        pace,
        seed: 15,
        known: 4,
        drain_grace: GRACE,
        most_flows: MOST_FLOWS,
        address: Some(address(1)),
    };
    bed.discovery = Discovery::new(&start, 0.0);
    bed.play(30_000.0, |_, _| Some((1.0, version)));
    let asked = bed.questions.len();
    assert_eq!(asked >= 140, questions >= 140, "{asked}");
    assert!(questions >= 140 || asked <= questions, "{asked}");
}

/// Changes come together: news is followed by the next question at the steady pace, in a fleet that begins slowly.
#[test]
fn news_quickens_the_next_question() {
    let gap = |version: u64| {
        let mut bed = Bed::new(300, 16);
        let pace =
            poll_schedule::Rules { gateways: 300, gateway_index: Some(0), slowest: poll_schedule::SLOWEST };
        let start = Start {
            pace,
            seed: 16,
            known: 1,
            drain_grace: GRACE,
            most_flows: MOST_FLOWS,
            address: Some(address(1)),
        };
        bed.discovery = Discovery::new(&start, 0.0);
        // The first answer is no change, whatever it says; the second is news or not.
        bed.play(8_000.0, |bed, _| Some((1.0, if bed.questions.len() == 1 { 1 } else { version })));
        bed.questions[2].asked_at - bed.questions[1].asked_at
    };
    assert!(gap(2) <= poll_schedule::STEADY + 2.0 * STEP, "{}", gap(2));
    assert!(gap(1) > 2.0 * poll_schedule::STEADY, "{}", gap(1));
}

#[test]
fn word_of_a_former_address_counts_until_the_present_one_has_spoken() {
    let mut bed = Bed::new(3, 10);
    bed.play(500.0, |_, _| None);
    let old = bed.questions.clone();
    bed.discovery.relocate(Some(address(2)), 500.0);
    bed.play(700.0, |_, _| None);
    let new = *bed.questions.last().expect("asked");
    assert_eq!(new.to, address(2));
    let (last, said) = (Cell::new(Verdict::of(AnswerKind::Older)), Cell::new(0));
    let mut hear = |question: &Question, version| {
        let list = Received::List { id: question.id, version };
        last.set(bed.discovery.receive(list, question.to, question.flow, 710.0));
        said.set(said.get() + 1);
        (last.get().kind, last.get().supersedes)
    };
    assert_eq!(hear(&old[0], 1_000), (AnswerKind::News, false));
    assert_eq!(hear(&new, 99), (AnswerKind::News, true));
    assert_eq!(hear(&old[1], 2_000), (AnswerKind::FormerAddress, false));
    assert_eq!(said.get(), 3);
}

#[test]
fn gateway_without_a_service_asks_nothing_and_relies_on_its_list() {
    let mut bed = Bed::new(3, 11);
    bed.discovery.relocate(None, 0.0);
    bed.play(20_000.0, |_, _| None);
    assert!(bed.questions.is_empty());
    assert_eq!(bed.discovery.reliable_until(), f64::INFINITY);
    assert_eq!(bed.discovery.freshness_change(20_000.0), None);
}

/// Soak seed 8051: the service is silent, the process stands still, the service is back meanwhile and silent again as the process
/// goes on. What happened in the pause may have been told.
#[test]
fn pause_in_the_middle_of_a_silence_is_no_part_of_it() {
    let mut bed = Bed::new(3, 17);
    bed.play(4_750.0, |_, _| Some((1.0, 1)));
    bed.pause = (6_000.0, 10_700.0);
    bed.play(11_500.0, |_, _| None);
    assert!(bed.discovery.reliable_until() <= bed.now, "nothing was asked for 4.7 s");
}
