//! Log lines on API keys; one test, since it sets the logger of the process.

mod common;

use std::sync::{Arc, Mutex};

use common::{Fixture, in_virtual_time, request, route, view};
use eelgrasspier_decide::customers::{Customers, RawCustomer};
use eelgrasspier_decide::route::Configuration;
use eelgrasspier_router::{Credential, Request, View};
use http::HeaderValue;
use http::header::AUTHORIZATION;
use log::{LevelFilter, Log, Metadata, Record};

static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

struct Recorder;

impl Log for Recorder {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        LINES.lock().unwrap().push(record.args().to_string());
    }

    fn flush(&self) {}
}

fn request_with_key(key: &'static str) -> Request {
    let mut request = request("r1", 400);
    request.headers.insert(AUTHORIZATION, HeaderValue::from_static(key));
    request.credential = Credential::Key(key.into());
    request
}

/// No line may contain a key, a flood of unknown keys must not fill the log, and without customers
/// the lines must be as before.
#[test]
fn lines_name_the_customer_and_never_a_key() {
    log::set_logger(&Recorder).unwrap();
    log::set_max_level(LevelFilter::Trace);
    in_virtual_time(async {
        let fixture = Fixture::new(route(1), 1);
        fixture.router.serve(request_with_key("secret1")).await;
        let before = LINES.lock().unwrap().split_off(0);
        assert!(before.iter().any(|l| l.starts_with("event=merged id=r1 route=r version=1 parts")));
        assert!(!before.iter().any(|l| l.contains("customer=") || l.contains("secret")));

        let keys = vec!["secret1".to_owned()];
        let customer =
            RawCustomer { name: "acme".into(), keys, priority: Some(7), per_s: 0.0, burst: 0.0 };
        let customers = Some(Arc::new(Customers::try_from(vec![customer]).unwrap()));
        let view = view(route(1), 1);
        let configuration = Configuration {
            customers,
            ..Configuration::clone(view.configuration.as_ref().unwrap())
        };
        let configuration = Some(Arc::new(configuration));
        fixture.shared.publish(View { configuration, ..view });
        fixture.router.serve(request_with_key("secret1")).await;
        for _ in 0..1_000 {
            fixture.router.serve(request_with_key("secret2")).await;
        }
        let lines = LINES.lock().unwrap();
        let count = |start: &str| lines.iter().filter(|l| l.starts_with(start)).count();
        let merged = "event=merged id=r1 route=r version=1 customer=acme priority=7 parts";
        assert_eq!(count(merged), 1, "{lines:?}");
        assert_eq!(count("event=key_refused id=r1 route=r cause=not_current version=1 "), 20);
        assert_eq!(count("event=refused id=r1 route=r version=1 customer=- priority=0 "), 1_000);
        assert!(!lines.iter().any(|l| l.contains("secret")), "a key is in the log");
    });
}
