//! Answers that wait for memory, in every order that they can come and go.
use async_executor::LocalExecutor;
use futures_lite::future::{block_on, yield_now};
use harestage_router::transport::answer_memory::AnswerMemory;
use std::cell::RefCell;
use std::rc::Rc;

/// Lets all tasks come as far as they can.
async fn settle() {
    for _ in 0..100 {
        yield_now().await;
    }
}

#[test]
fn answers_wait_in_turn_and_a_large_one_can_not_be_overtaken_for_good() {
    let (executor, memory) = (Rc::new(LocalExecutor::new()), Rc::new(AnswerMemory::new(100)));
    let order = Rc::new(RefCell::new(Vec::new()));
    let read = |name: u32, bytes| {
        let (memory, order) = (memory.clone(), order.clone());
        async move {
            let _reservation = memory.reserve(bytes).await;
            assert!(memory.reserved() <= 100 || memory.reserved() == bytes);
            order.borrow_mut().push(name);
            yield_now().await;
        }
    };
    block_on(executor.run(async {
        let first = memory.reserve(60).await;
        let waiting: Vec<_> =
            [(1, 90), (2, 30), (3, 500)].map(|(name, bytes)| executor.spawn(read(name, bytes))).into();
        settle().await;
        assert!(order.borrow().is_empty() && memory.has_waiters(), "each waits for those before it");
        drop(first);
        for task in waiting {
            task.await;
        }
    }));
    assert_eq!(order.borrow().len(), 3);
    assert!(memory.reserved() == 0 && !memory.has_waiters());
}

#[test]
fn one_that_gives_up_while_it_waits_lets_the_next_one_in() {
    let (executor, memory) = (Rc::new(LocalExecutor::new()), Rc::new(AnswerMemory::new(100)));
    let wait = |bytes| {
        let memory = memory.clone();
        executor.spawn(async move { drop(memory.reserve(bytes).await) })
    };
    block_on(executor.run(async {
        let first = memory.reserve(100).await;
        let (gives_up, stays) = (wait(100), wait(10));
        settle().await;
        // The one that is let in ends before it runs.
        drop(first);
        drop(gives_up);
        stays.await;
    }));
    assert!(memory.reserved() == 0 && !memory.has_waiters());
}
