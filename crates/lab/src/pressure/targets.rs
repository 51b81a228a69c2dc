//! Targets: slots, a queue, and turning away when both are full.

use std::collections::VecDeque;

/// Slots of a target.
pub const SLOTS: usize = 2;
/// Requests that may wait for a slot.
const QUEUE: usize = 8;

/// A request at a target.
#[derive(Debug, Clone, Copy, Default)]
pub struct Job {
    /// Flow of the request.
    pub flow: usize,
    /// Number of the request on its flow.
    pub number: u32,
    /// Start of the target that accepted it. A target that stops loses its requests.
    pub incarnation: u64,
    /// Time of work at speed 1.
    pub work_us: u64,
}

/// What a target does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It runs for this time in microseconds.
    Started(u64),
    /// It waits for a slot.
    Queued,
    /// It is answered with a refusal at once.
    TurnedAway,
}

/// A target.
#[derive(Debug)]
pub struct Target {
    /// Index of its service.
    pub service: usize,
    /// Index of its failure domain.
    pub domain: usize,
    /// Speed relative to the usual one.
    pub speed: f64,
    /// Whether it answers nothing.
    pub is_dead: bool,
    /// Number of its start.
    pub incarnation: u64,
    /// Requests that arrived.
    pub arrivals: u64,
    /// Requests that were turned away.
    pub turned_away: u64,
    /// Time of work that was started.
    pub busy_us: u64,
    running: usize,
    queue: VecDeque<Job>,
}

impl Target {
    /// Creates an idle target.
    pub fn new(service: usize, domain: usize, speed: f64) -> Self {
        Self {
            service,
            domain,
            speed,
            is_dead: false,
            incarnation: 1,
            arrivals: 0,
            turned_away: 0,
            busy_us: 0,
            running: 0,
            queue: VecDeque::new(),
        }
    }

    /// Returns the time of work that the target can do in a second, in seconds.
    pub fn capacity(&self) -> f64 {
        if self.is_dead {
            return 0.0;
        }
        SLOTS as f64 * self.speed
    }

    /// Accepts a request or turns it away.
    pub fn accept(&mut self, job: Job) -> Admission {
        self.arrivals += 1;
        if self.running < SLOTS {
            return Admission::Started(self.start(job));
        }
        if self.queue.len() < QUEUE {
            self.queue.push_back(job);
            return Admission::Queued;
        }
        self.turned_away += 1;
        Admission::TurnedAway
    }

    /// Frees a slot and returns the queued request that takes it, with its time of work.
    pub fn finish(&mut self) -> Option<(Job, u64)> {
        self.running -= 1;
        let job = self.queue.pop_front()?;
        Some((job, self.start(job)))
    }

    /// A change of speed applies to work that starts after it.
    fn start(&mut self, job: Job) -> u64 {
        self.running += 1;
        let run_us = (job.work_us as f64 / self.speed) as u64;
        self.busy_us += run_us;
        run_us
    }

    /// Stops the target, which loses its requests, or starts it again.
    pub fn set_dead(&mut self, is_dead: bool) {
        self.is_dead = is_dead;
        self.incarnation += u64::from(is_dead);
        self.running = 0;
        self.queue.clear();
    }
}
